package io.samphiredyke.net.http;

/** Handles the requests of an HTTP server. */
@FunctionalInterface
public interface HttpHandler {

  /**
   * Handles a request after its head was received and before its body is read.
   *
   * <p>Called on the connection's event loop; must not block.
   */
  void handle(HttpExchange exchange);
}
