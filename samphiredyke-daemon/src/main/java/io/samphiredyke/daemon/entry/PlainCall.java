package io.samphiredyke.daemon.entry;

import io.samphiredyke.core.config.Endpoint;
import io.samphiredyke.daemon.response.ResponseBuffer;
import io.samphiredyke.daemon.response.ResponseHead;
import io.samphiredyke.net.http.ConnectFailedException;
import io.samphiredyke.net.http.HttpRequest;
import io.samphiredyke.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

/** A call to a plain service, which sends its response in one piece. */
final class PlainCall extends AbstractEndpointCall {

  private static final int ACCEPTED = 202;
  private static final int NOT_FOUND = 404;
  private static final Duration INACTIVITY_TIMEOUT = Duration.ofSeconds(5);
  private static final Duration POLL_INTERVAL = Duration.ofMillis(200);

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
    storeResponse(response);
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
    HttpRequest request =
        HttpRequest.get(address, "/v1/results/" + requestId)
            .timeout(INACTIVITY_TIMEOUT)
            .newConnection(true)
            .build();
    http.send(request)
        .whenComplete(
            (response, failure) -> {
              if (isCancelled()) {
                return;
              }
              if (failure != null) {
                scheduleResume();
              } else {
                handleResumeResponse(response);
              }
            });
  }

  private void handleResumeResponse(HttpResponse response) {
    if (response.status() == ACCEPTED) {
      resetResumeFailures();
      loop.schedule(this::resume, POLL_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
    } else if (response.status() == NOT_FOUND) {
      handleUnknownRequest();
    } else {
      storeResponse(response);
    }
  }
}
