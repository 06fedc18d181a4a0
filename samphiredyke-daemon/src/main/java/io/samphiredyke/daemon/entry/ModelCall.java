package io.samphiredyke.daemon.entry;

import io.samphiredyke.core.config.Endpoint;
import io.samphiredyke.daemon.response.ResponseBuffer;
import io.samphiredyke.daemon.response.ResponseHead;
import io.samphiredyke.net.http.ConnectFailedException;
import io.samphiredyke.net.http.HttpRequest;
import io.samphiredyke.net.http.HttpResponse;
import io.samphiredyke.net.http.HttpStream;
import io.samphiredyke.net.http.StreamListener;
import io.samphiredyke.net.http.WholeResponseCheck;
import io.samphiredyke.net.sse.SseDecoder;
import io.samphiredyke.net.sse.SseEvent;
import io.samphiredyke.net.sse.SseException;
import java.io.ByteArrayOutputStream;
import java.time.Duration;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * A call to a model engine, which responds with a stream of numbered server-sent events.
 *
 * <p>Event numbers must be consecutive. After a gap, a malformed event or the end of the stream
 * without the final event, the connection is closed and the response is resumed after the last
 * valid event number.
 */
final class ModelCall extends AbstractEndpointCall {

  private static final int MAX_EVENT_BYTES = 1024 * 1024;
  private static final int MAX_ERROR_BODY_BYTES = 1024 * 1024;
  private static final int OK = 200;
  private static final int NOT_FOUND = 404;
  private static final Duration INACTIVITY_TIMEOUT = Duration.ofSeconds(5);
  private static final String EVENT_STREAM = "text/event-stream";

  private volatile @Nullable HttpStream stream;

  ModelCall(CallContext context, Endpoint endpoint, ResponseBuffer buffer, Listener listener) {
    super(context, endpoint, buffer, listener);
  }

  @Override
  public void dispatch() {
    HttpRequest request =
        HttpRequest.post(address, payload.path(), payload.body())
            .header(ID_HEADER, requestId)
            .header("accept", EVENT_STREAM)
            .timeout(INACTIVITY_TIMEOUT)
            .build();
    stream = http.open(request, new StreamReader(false));
  }

  @Override
  protected void sendResume() {
    HttpRequest request =
        HttpRequest.get(address, "/v1/requests/" + requestId + "/stream")
            .header("last-event-id", Long.toString(buffer.lastChunkNumber()))
            .timeout(INACTIVITY_TIMEOUT)
            .newConnection(true)
            .build();
    stream = http.open(request, new StreamReader(true));
  }

  @Override
  public void cancel() {
    super.cancel();
    closeStream();
  }

  private void closeStream() {
    HttpStream open = stream;
    if (open != null) {
      open.close();
    }
  }

  /** Reads the response stream of one connection. */
  private final class StreamReader implements StreamListener {

    private final boolean isResume;
    private final SseDecoder decoder = new SseDecoder(MAX_EVENT_BYTES);
    private final ByteArrayOutputStream errorBody = new ByteArrayOutputStream();
    private int status;
    private Map<String, String> headers = Map.of();
    private boolean endsWithConnection;
    private boolean isFinished;

    StreamReader(boolean isResume) {
      this.isResume = isResume;
    }

    @Override
    public void onEndsWithConnection() {
      endsWithConnection = true;
    }

    @Override
    public void onHeaders(int status, Map<String, String> headers) {
      this.status = status;
      this.headers = headers;
      if (status == OK) {
        buffer.head(new ResponseHead(OK, EVENT_STREAM, true));
      }
    }

    @Override
    public void onChunk(byte[] bytes) {
      if (isFinished) {
        return;
      }
      if (status != OK) {
        readErrorBody(bytes);
        return;
      }
      try {
        decoder.feed(bytes, this::onEvent);
      } catch (SseException e) {
        abortStream();
      }
    }

    private void onEvent(SseEvent event) {
      if (isFinished) {
        return;
      }
      long number = sequenceNumberOf(event);
      if (number <= buffer.lastChunkNumber() && number > 0) {
        return;
      }
      if (!buffer.add(number, event.bytes())) {
        handleRejectedChunk();
        return;
      }
      resetResumeFailures();
      if (number == 1) {
        listener.onFirstChunk();
      }
      applyBackpressure();
      if (event.isDone()) {
        isFinished = true;
        buffer.complete();
        listener.onCompleted();
      }
    }

    private void handleRejectedChunk() {
      if (!buffer.isOverLimit()) {
        abortStream();
        return;
      }
      isFinished = true;
      closeStream();
      if (!isCancelled()) {
        listener.onResponseTooLong();
      }
    }

    /**
     * Pauses reading while all callers are far behind. The second check covers a caller that caught
     * up before reading was paused.
     */
    private void applyBackpressure() {
      HttpStream open = stream;
      if (open == null || !buffer.isThrottled(() -> open.setAutoRead(true))) {
        return;
      }
      open.setAutoRead(false);
      if (!buffer.isThrottled(() -> open.setAutoRead(true))) {
        open.setAutoRead(true);
      }
    }

    private static long sequenceNumberOf(SseEvent event) {
      try {
        return Long.parseLong(event.id());
      } catch (NumberFormatException e) {
        return -1;
      }
    }

    private void abortStream() {
      isFinished = true;
      closeStream();
      handleConnectionLoss();
    }

    private void handleConnectionLoss() {
      if (isCancelled()) {
        return;
      }
      if (isResume) {
        scheduleResume();
      } else {
        listener.onConnectionLost();
      }
    }

    @Override
    public void onEnd() {
      if (isFinished) {
        return;
      }
      isFinished = true;
      if (status == OK) {
        handleConnectionLoss();
      } else if (isResume) {
        handleRefusedResume();
      } else {
        handleErrorResponse();
      }
    }

    /** Collects the body of a failure; of one that is too long, only the status counts. */
    private void readErrorBody(byte[] bytes) {
      if (errorBody.size() + bytes.length <= MAX_ERROR_BODY_BYTES) {
        errorBody.writeBytes(bytes);
        return;
      }
      isFinished = true;
      closeStream();
      if (isCancelled()) {
        return;
      }
      if (isResume) {
        handleRefusedResume();
      } else if (provesNotExecuted(status)) {
        listener.onNotExecuted(true);
      } else {
        listener.onResponseTooLong();
      }
    }

    private void handleRefusedResume() {
      if (status == NOT_FOUND) {
        handleUnknownRequest();
      } else {
        scheduleResume();
      }
    }

    private void handleErrorResponse() {
      if (provesNotExecuted(status)) {
        listener.onNotExecuted(true);
        return;
      }
      byte[] body = errorBody.toByteArray();
      HttpResponse response = new HttpResponse(status, headers, body, endsWithConnection);
      if (!new WholeResponseCheck().isWhole(response)) {
        handleConnectionLoss();
        return;
      }
      String contentType = headers.getOrDefault("content-type", "application/json");
      buffer.head(new ResponseHead(status, contentType, false));
      buffer.add(1, body);
      buffer.complete();
      listener.onCompleted();
    }

    @Override
    public void onFailure(Throwable cause) {
      if (isFinished) {
        return;
      }
      isFinished = true;
      if (!isResume && cause instanceof ConnectFailedException) {
        listener.onNotExecuted(false);
        return;
      }
      handleConnectionLoss();
    }
  }
}
