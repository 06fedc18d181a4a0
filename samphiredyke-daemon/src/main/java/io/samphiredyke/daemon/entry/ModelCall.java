package io.samphiredyke.daemon.entry;

import io.samphiredyke.core.config.Endpoint;
import io.samphiredyke.daemon.response.ResponseBuffer;
import io.samphiredyke.daemon.response.ResponseHead;
import io.samphiredyke.net.http.ConnectFailedException;
import io.samphiredyke.net.http.HttpRequest;
import io.samphiredyke.net.http.HttpStream;
import io.samphiredyke.net.http.StreamListener;
import io.samphiredyke.net.sse.SseDecoder;
import io.samphiredyke.net.sse.SseEvent;
import io.samphiredyke.net.sse.SseException;
import java.io.ByteArrayOutputStream;
import java.time.Duration;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * A call to a model engine, whose answer is a stream of numbered events.
 *
 * <p>Events must be numbered without gaps. A gap, a malformed event or an end without the final
 * event breaks the connection, and the rest is resumed by the number of the last good event.
 */
final class ModelCall extends AbstractEndpointCall {

  private static final int MAX_EVENT_BYTES = 1024 * 1024;
  private static final int MAX_REFUSAL_BYTES = 64 * 1024;
  private static final int OK = 200;
  private static final int NOT_FOUND = 404;
  private static final Duration SILENCE_TIMEOUT = Duration.ofSeconds(5);
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
            .timeout(SILENCE_TIMEOUT)
            .build();
    stream = http.open(request, new Reader(false));
  }

  @Override
  protected void sendResume() {
    HttpRequest request =
        HttpRequest.get(address, "/v1/requests/" + requestId + "/stream")
            .header("last-event-id", Long.toString(buffer.lastNumber()))
            .timeout(SILENCE_TIMEOUT)
            .build();
    stream = http.open(request, new Reader(true));
  }

  @Override
  public void stop() {
    super.stop();
    closeStream();
  }

  private void closeStream() {
    HttpStream open = stream;
    if (open != null) {
      open.close();
    }
  }

  /** Reads one connection. */
  private final class Reader implements StreamListener {

    private final boolean isResume;
    private final SseDecoder decoder = new SseDecoder(MAX_EVENT_BYTES);
    private final ByteArrayOutputStream refusal = new ByteArrayOutputStream();
    private int status;
    private String contentType = "";
    private boolean isOver;

    Reader(boolean isResume) {
      this.isResume = isResume;
    }

    @Override
    public void onHeaders(int status, Map<String, String> headers) {
      this.status = status;
      contentType = headers.getOrDefault("content-type", "application/json");
      if (status == OK) {
        buffer.head(new ResponseHead(OK, EVENT_STREAM, true));
      }
    }

    @Override
    public void onChunk(byte[] bytes) {
      if (isOver) {
        return;
      }
      if (status != OK) {
        refusal.write(bytes, 0, Math.min(bytes.length, MAX_REFUSAL_BYTES - refusal.size()));
        return;
      }
      try {
        decoder.feed(bytes, this::onEvent);
      } catch (SseException e) {
        breakOff();
      }
    }

    private void onEvent(SseEvent event) {
      if (isOver) {
        return;
      }
      long number = numberOf(event);
      if (number <= buffer.lastNumber() && number > 0) {
        return;
      }
      if (!buffer.add(number, event.bytes())) {
        refusePart();
        return;
      }
      progressed();
      if (number == 1) {
        listener.onFirstPart();
      }
      holdBack();
      if (event.isDone()) {
        isOver = true;
        buffer.complete();
        listener.onEnded();
      }
    }

    private void refusePart() {
      if (!buffer.isOverLimit()) {
        breakOff();
        return;
      }
      isOver = true;
      closeStream();
      if (!isStopped()) {
        listener.onTooLong();
      }
    }

    /** Stops to read while all callers are far behind. */
    private void holdBack() {
      HttpStream open = stream;
      if (open == null || !buffer.isHeldBack(() -> open.setAutoRead(true))) {
        return;
      }
      open.setAutoRead(false);
      if (!buffer.isHeldBack(() -> open.setAutoRead(true))) {
        open.setAutoRead(true);
      }
    }

    private static long numberOf(SseEvent event) {
      try {
        return Long.parseLong(event.id());
      } catch (NumberFormatException e) {
        return -1;
      }
    }

    private void breakOff() {
      isOver = true;
      closeStream();
      broken();
    }

    private void broken() {
      if (isStopped()) {
        return;
      }
      if (isResume) {
        resumeLater();
      } else {
        listener.onBroken();
      }
    }

    @Override
    public void onEnd() {
      if (isOver) {
        return;
      }
      isOver = true;
      if (status == OK) {
        broken();
      } else if (!isResume) {
        refused();
      } else if (status == NOT_FOUND) {
        missing();
      } else {
        resumeLater();
      }
    }

    private void refused() {
      if (provesNotRun(status)) {
        listener.onNotDispatched();
        return;
      }
      buffer.head(new ResponseHead(status, contentType, false));
      buffer.add(1, refusal.toByteArray());
      buffer.complete();
      listener.onEnded();
    }

    @Override
    public void onFailure(Throwable cause) {
      if (isOver) {
        return;
      }
      isOver = true;
      if (!isResume && cause instanceof ConnectFailedException) {
        listener.onNotDispatched();
        return;
      }
      broken();
    }
  }
}
