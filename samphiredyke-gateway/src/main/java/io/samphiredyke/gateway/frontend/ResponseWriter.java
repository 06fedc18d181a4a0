package io.samphiredyke.gateway.frontend;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;

/** Writes the response to one request. Only the first response is sent; later ones are ignored. */
public interface ResponseWriter {

  /** Sends a complete response and takes ownership of the body. */
  void send(int status, HttpHeaders headers, ByteBuf body);

  /** Starts a response of unknown length. */
  void start(int status, HttpHeaders headers);

  /** Sends a chunk of a started response and takes ownership of it. */
  void write(ByteBuf chunk);

  /** Completes a started response. */
  void end();

  /** Closes the connection, so that the caller detects a started response as incomplete. */
  void abort();

  /** Returns whether the write buffer is below its high-water mark. */
  boolean isWritable();
}
