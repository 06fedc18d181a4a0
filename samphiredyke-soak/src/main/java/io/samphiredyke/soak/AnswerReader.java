package io.samphiredyke.soak;

import io.samphiredyke.net.http.HttpStream;
import io.samphiredyke.net.http.StreamListener;
import io.samphiredyke.platform.standin.CallerStandIn;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/** Reads one answer and compares it with what belongs to the request. */
final class AnswerReader implements StreamListener {

  private static final int OK = 200;

  private final String id;
  private final RequestKind kind;
  private final String host;
  private final long sentMillis = System.currentTimeMillis();
  private final Consumer<Exchange> onEnd;
  private final ByteArrayOutputStream body = new ByteArrayOutputStream();
  private @Nullable HttpStream stream;
  private int status;
  private boolean isOfEndpoint;
  private boolean isOver;

  AnswerReader(String id, RequestKind kind, String host, Consumer<Exchange> onEnd) {
    this.id = id;
    this.kind = kind;
    this.host = host;
    this.onEnd = onEnd;
  }

  synchronized void sentOn(HttpStream opened) {
    stream = opened;
  }

  @Override
  public synchronized void onHeaders(int answered, Map<String, String> headers) {
    status = answered;
    isOfEndpoint = CallerStandIn.hasEndpointSignature(headers);
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

  /** The caller leaves, if it still waits. */
  void leave() {
    end(false);
  }

  private void end(boolean isWhole) {
    synchronized (this) {
      if (isOver) {
        return;
      }
      isOver = true;
      HttpStream open = stream;
      if (!isWhole && open != null) {
        open.close();
      }
    }
    onEnd.accept(new Exchange(id, kind, host, sentMillis, status, isWhole, defect(isWhole)));
  }

  /** Returns what is wrong with the answer so far, empty if nothing. */
  private synchronized String defect(boolean isWhole) {
    if (status != OK) {
      return "";
    }
    if (!isOfEndpoint) {
      return "a success without an endpoint's checksum";
    }
    String text = body.toString(StandardCharsets.UTF_8);
    String expected = expected();
    boolean matches = isWhole ? text.equals(expected) : expected.startsWith(text);
    return matches ? "" : "got '" + text + "' for '" + expected + "'";
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
