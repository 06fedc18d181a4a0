package io.samphiredyke.net.http;

/** Answers one request. */
@FunctionalInterface
public interface HttpHandler {

  /**
   * Handles a request whose head has arrived and whose body has not been read.
   *
   * <p>Called on the connection's event loop; must not block.
   */
  void handle(HttpExchange exchange);
}
