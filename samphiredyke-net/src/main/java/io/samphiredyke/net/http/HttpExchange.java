package io.samphiredyke.net.http;

import io.netty.channel.EventLoop;
import io.samphiredyke.net.codec.Json;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.jspecify.annotations.Nullable;

/** One request and the means to answer it. */
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
   * @return the bytes; fails with {@link HttpException} 413 when it is longer than allowed, and
   *     with {@link ConnectionLostException} when the connection ends first
   */
  CompletableFuture<byte[]> body();

  /** Sends a whole answer. Only the first answer of an exchange is sent. */
  void respond(int status, Map<String, String> headers, byte[] body);

  /** Starts an answer that is sent in chunks. */
  ResponseStream startStream(int status, Map<String, String> headers);

  /** Returns a future that completes when the connection closes before the answer ended. */
  CompletableFuture<Void> disconnected();

  /**
   * Returns the connection's number, which is the same for all of its requests and larger than that
   * of every connection made before in this process.
   */
  long connectionNumber();

  /** Closes the connection without sending any more, so that the caller sees that it is cut. */
  void abort();

  /** Sends a whole answer as JSON. */
  default void respondJson(int status, Object value) {
    respond(status, Map.of("content-type", "application/json"), Json.bytes(value));
  }
}
