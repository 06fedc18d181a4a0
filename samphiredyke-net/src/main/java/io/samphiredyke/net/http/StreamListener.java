package io.samphiredyke.net.http;

import java.util.Map;

/** Receives a streamed response, on the event loop of the connection. */
public interface StreamListener {

  /**
   * Called before the request is sent on a connection that has carried another request, so that a
   * second copy of an earlier response may be received in place of the response.
   */
  default void onConnectionReused() {}

  /**
   * Called before {@link #onHeaders} if the response states neither a length nor chunks, so that
   * its body ends with the connection, as that of a server that is killed does.
   */
  default void onEndsWithConnection() {}

  /** Called once with the status and the headers. Header names are in lower case. */
  void onHeaders(int status, Map<String, String> headers);

  /** Called with each part of the body. */
  void onChunk(byte[] bytes);

  /** Called once when the response is complete. No further calls follow. */
  void onEnd();

  /**
   * Called once if the response cannot be completed. No further calls follow.
   *
   * @param cause {@link ConnectFailedException} if nothing was sent, otherwise {@link
   *     ConnectionLostException} or an I/O error
   */
  void onFailure(Throwable cause);
}
