package io.samphiredyke.gateway.frontend;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;

/** The way back to the caller of one request. Only the first answer counts. */
public interface ResponseWriter {

  /** Sends a whole answer; takes ownership of the body. */
  void send(int status, HttpHeaders headers, ByteBuf body);

  /** Starts an answer whose length is not known yet. */
  void start(int status, HttpHeaders headers);

  /** Sends a piece of a started answer; takes ownership of it. */
  void write(ByteBuf piece);

  /** Ends a started answer as complete. */
  void end();

  /** Closes the connection, so that a started answer is seen to be incomplete. */
  void abort();

  /** Returns whether more may be written without piling up in memory. */
  boolean isWritable();
}
