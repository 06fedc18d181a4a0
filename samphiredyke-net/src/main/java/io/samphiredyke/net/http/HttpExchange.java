package io.samphiredyke.net.http;

import io.netty.channel.EventLoop;
import io.samphiredyke.net.codec.Json;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.jspecify.annotations.Nullable;

/** A request on a server connection, with the methods that send its response. */
public interface HttpExchange {

  /** Returns the method, such as {@code POST}. */
  String method();

  /** Returns the decoded path without the query. */
  String path();

  /** Returns the first value of each query parameter. */
  Map<String, String> query();

  /** Returns the first value of a header, or null. */
  @Nullable String header(String name);

  /** Returns the event loop of the connection. */
  EventLoop eventLoop();

  /**
   * Reads the whole body.
   *
   * @return the bytes; fails with {@link HttpException} 413 if the body exceeds the limit, and with
   *     {@link ConnectionLostException} if the connection closes before the end of the body
   */
  CompletableFuture<byte[]> body();

  /** Sends a complete response. Only the first response of an exchange is sent. */
  void respond(int status, Map<String, String> headers, byte[] body);

  /** Starts a response that is sent in chunks. */
  ResponseStream startStream(int status, Map<String, String> headers);

  /** Returns a future that completes if the connection closes before the response ended. */
  CompletableFuture<Void> disconnected();

  /**
   * Returns the number of the connection. All requests on a connection share its number, and each
   * new connection of this process gets a larger number than those before it.
   */
  long connectionNumber();

  /**
   * Closes the connection without ending the response, so that the caller detects the interruption.
   */
  void abort();

  /** Sends a complete response as JSON. */
  default void respondJson(int status, Object value) {
    respond(status, Map.of("content-type", "application/json"), Json.bytes(value));
  }
}
