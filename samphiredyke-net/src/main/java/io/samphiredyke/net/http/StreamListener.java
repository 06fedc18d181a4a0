package io.samphiredyke.net.http;

import java.util.Map;

/** Receives a streamed answer, on the connection's event loop. */
public interface StreamListener {

  /** Called once with the status and the headers, whose names are in lower case. */
  void onHeaders(int status, Map<String, String> headers);

  /** Called with each part of the body. */
  void onChunk(byte[] bytes);

  /** Called once when the answer ended properly; nothing follows. */
  void onEnd();

  /**
   * Called once when the answer cannot be completed; nothing follows.
   *
   * @param cause {@link ConnectFailedException} if nothing was sent, otherwise {@link
   *     ConnectionLostException} or an I/O error
   */
  void onFailure(Throwable cause);
}
