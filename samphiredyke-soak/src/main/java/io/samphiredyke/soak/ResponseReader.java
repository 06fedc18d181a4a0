package io.samphiredyke.soak;

import io.samphiredyke.net.http.HttpStream;
import io.samphiredyke.net.http.StreamListener;
import io.samphiredyke.platform.standin.CallerStandIn;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/** Reads one response and compares it with the expected response to the request. */
final class ResponseReader implements StreamListener {

  private static final int OK = 200;

  private final String id;
  private final RequestKind kind;
  private final String host;
  private final long sentMillis = System.currentTimeMillis();
  private final Consumer<Exchange> onEnd;
  private final ByteArrayOutputStream body = new ByteArrayOutputStream();
  private @Nullable HttpStream stream;
  private int status;
  private boolean hasEndpointSignature;
  private boolean hasEnded;

  ResponseReader(String id, RequestKind kind, String host, Consumer<Exchange> onEnd) {
    this.id = id;
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
    end(false);
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
    onEnd.accept(new Exchange(id, kind, host, sentMillis, status, isComplete, defect(isComplete)));
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
    for (int number = 1; number <= CallerStandIn.eventCount(id); number++) {
      text.append(CallerStandIn.event(id, number));
    }
    return text.toString();
  }
}
