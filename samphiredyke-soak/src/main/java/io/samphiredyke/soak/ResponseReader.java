package io.samphiredyke.soak;

import io.samphiredyke.net.http.HttpStream;
import io.samphiredyke.net.http.StreamListener;
import io.samphiredyke.platform.standin.CallerStandIn;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.function.BiConsumer;
import org.jspecify.annotations.Nullable;

/** Reads one response and compares it with the expected response to the request. */
final class ResponseReader implements StreamListener {

  private static final int OK = 200;

  private final String id;
  private final String streamId;
  private final int lastEventBefore;
  private final RequestKind kind;
  private final String host;
  private final long sentMillis = System.currentTimeMillis();
  private final BiConsumer<ResponseReader, Exchange> onEnd;
  private final ByteArrayOutputStream body = new ByteArrayOutputStream();
  private @Nullable HttpStream stream;
  private int status;
  private boolean hasEndpointSignature;
  private boolean hasEnded;
  private boolean isAbandoned;

  /**
   * Creates a reader.
   *
   * @param streamId id of the request that began the stream, the same id for a new one
   * @param lastEventBefore number of the last event that the caller had before, 0 for none
   */
  ResponseReader(
      String id,
      String streamId,
      int lastEventBefore,
      RequestKind kind,
      String host,
      BiConsumer<ResponseReader, Exchange> onEnd) {
    this.id = id;
    this.streamId = streamId;
    this.lastEventBefore = lastEventBefore;
    this.kind = kind;
    this.host = host;
    this.onEnd = onEnd;
  }

  synchronized void setStream(HttpStream opened) {
    stream = opened;
  }

  @Override
  public synchronized void onHeaders(int responseStatus, Map<String, String> headers) {
    status = responseStatus;
    hasEndpointSignature = CallerStandIn.hasEndpointSignature(headers);
  }

  @Override
  public synchronized void onChunk(byte[] bytes) {
    body.writeBytes(bytes);
  }

  @Override
  public void onEnd() {
    end(true);
  }

  @Override
  public void onFailure(Throwable cause) {
    end(false);
  }

  /** Disconnects before the end of the response; has no effect after it. */
  void abandon() {
    synchronized (this) {
      isAbandoned = !hasEnded;
    }
    end(false);
  }

  /** Returns whether a stream ended within its events although its caller wanted the others. */
  synchronized boolean isBrokenOff() {
    return !isAbandoned && lastEvent() > 0 && lastEvent() < CallerStandIn.eventCount(streamId);
  }

  String streamId() {
    return streamId;
  }

  private void end(boolean isComplete) {
    synchronized (this) {
      if (hasEnded) {
        return;
      }
      hasEnded = true;
      HttpStream open = stream;
      if (!isComplete && open != null) {
        open.close();
      }
    }
    onEnd.accept(
        this, new Exchange(id, kind, host, sentMillis, status, isComplete, defect(isComplete)));
  }

  /** Returns the number of the last event that the caller has, 0 for none. */
  synchronized int lastEvent() {
    String text = body.toString(StandardCharsets.UTF_8);
    int last = lastEventBefore;
    int end = 0;
    for (String next = CallerStandIn.event(streamId, last + 1);
        kind.isStream() && text.startsWith(next, end);
        next = CallerStandIn.event(streamId, last + 1)) {
      last++;
      end += next.length();
    }
    return last;
  }

  /** Returns the defect of the response received so far, empty if there is none. */
  private synchronized String defect(boolean isComplete) {
    if (status != OK) {
      return "";
    }
    if (!hasEndpointSignature) {
      return "success response without an endpoint signature";
    }
    String text = body.toString(StandardCharsets.UTF_8);
    String expected = expected();
    boolean matches = isComplete ? text.equals(expected) : expected.startsWith(text);
    return matches ? "" : "got '" + text + "', expected '" + expected + "'";
  }

  private String expected() {
    if (!kind.isStream()) {
      return CallerStandIn.plainBody(id);
    }
    StringBuilder text = new StringBuilder();
    int count = CallerStandIn.eventCount(streamId);
    for (int number = lastEventBefore + 1; number <= count; number++) {
      text.append(CallerStandIn.event(streamId, number));
    }
    return text.toString();
  }
}
