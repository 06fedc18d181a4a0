package io.samphiredyke.daemon.entry;

import com.google.common.flogger.FluentLogger;
import io.samphiredyke.core.config.Endpoint;
import io.samphiredyke.daemon.response.ResponseBuffer;
import io.samphiredyke.daemon.response.ResponseHead;
import io.samphiredyke.net.http.ConnectFailedException;
import io.samphiredyke.net.http.HttpRequest;
import io.samphiredyke.net.http.HttpResponse;
import io.samphiredyke.net.http.WholeResponseCheck;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * A call to a plain service, which sends its response in one piece.
 *
 * <p>A response that may have been cut off is compared with the result that the service keeps.
 */
final class PlainCall extends AbstractEndpointCall {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int ACCEPTED = 202;
  private static final int NOT_FOUND = 404;
  private static final int TOO_MANY_REQUESTS = 429;
  private static final int SERVER_ERROR = 500;
  private static final Duration INACTIVITY_TIMEOUT = Duration.ofSeconds(5);
  private static final Duration POLL_INTERVAL = Duration.ofMillis(200);

  private final WholeResponseCheck wholeResponseCheck = new WholeResponseCheck();

  PlainCall(CallContext context, Endpoint endpoint, ResponseBuffer buffer, Listener listener) {
    super(context, endpoint, buffer, listener);
  }

  @Override
  public void dispatch() {
    HttpRequest request =
        HttpRequest.post(address, payload.path(), payload.body())
            .header(ID_HEADER, requestId)
            .timeout(INACTIVITY_TIMEOUT)
            .build();
    http.send(request)
        .whenComplete(
            (response, failure) -> {
              if (isCancelled()) {
                return;
              }
              if (failure == null) {
                handleResponse(response);
              } else if (failure instanceof ConnectFailedException) {
                listener.onNotExecuted(false);
              } else {
                listener.onConnectionLost();
              }
            });
  }

  private void handleResponse(HttpResponse response) {
    if (provesNotExecuted(response.status())) {
      listener.onNotExecuted(true);
      return;
    }
    if (wholeResponseCheck.isWhole(response)) {
      storeResponse(response);
      return;
    }
    logIncomplete(response);
    send(resultRequest(), this::handleComparedResult, listener::onConnectionLost);
  }

  /** Stores a result, unless it leaves open whether the response was whole. */
  private void handleComparedResult(HttpResponse result) {
    if (isResult(result) && wholeResponseCheck.isWhole(result)) {
      storeResponse(result);
    } else {
      listener.onConnectionLost();
    }
  }

  private static boolean isResult(HttpResponse response) {
    return response.status() != ACCEPTED
        && response.status() != NOT_FOUND
        && !isRefusal(response.status());
  }

  /** Returns whether a status concerns the reading of a result, and says nothing of the result. */
  private static boolean isRefusal(int status) {
    return status == TOO_MANY_REQUESTS || status >= SERVER_ERROR;
  }

  private void logIncomplete(HttpResponse response) {
    logger.atInfo().log(
        "response may be incomplete: id=%s endpoint=%s status=%d bytes=%d ends_with_connection=%s",
        requestId,
        endpoint.name(),
        response.status(),
        response.body().length,
        response.endsWithConnection());
  }

  private void storeResponse(HttpResponse response) {
    String contentType = response.headers().getOrDefault("content-type", "application/json");
    buffer.head(new ResponseHead(response.status(), contentType, false));
    if (!buffer.add(1, response.body()) && buffer.isOverLimit()) {
      listener.onResponseTooLong();
      return;
    }
    buffer.complete();
    listener.onFirstChunk();
    listener.onCompleted();
  }

  @Override
  protected void sendResume() {
    send(resultRequest(), this::handleResumeResponse, this::scheduleResume);
  }

  private HttpRequest resultRequest() {
    return HttpRequest.get(address, "/v1/results/" + requestId)
        .timeout(INACTIVITY_TIMEOUT)
        .newConnection(true)
        .build();
  }

  private void send(HttpRequest request, Consumer<HttpResponse> onResponse, Runnable onFailure) {
    http.send(request)
        .whenComplete(
            (response, failure) -> {
              if (isCancelled()) {
                return;
              }
              if (failure != null) {
                onFailure.run();
              } else {
                onResponse.accept(response);
              }
            });
  }

  private void handleResumeResponse(HttpResponse response) {
    if (response.status() == ACCEPTED) {
      resetResumeFailures();
      loop.schedule(this::resume, POLL_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
    } else if (response.status() == NOT_FOUND) {
      handleUnknownRequest();
    } else if (isRefusal(response.status())) {
      scheduleResume();
    } else if (wholeResponseCheck.isWhole(response)) {
      storeResponse(response);
    } else {
      logIncomplete(response);
      scheduleResume();
    }
  }
}
