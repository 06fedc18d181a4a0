package io.samphiredyke.net.peer;

import io.netty.handler.ssl.SslContext;
import java.time.Duration;
import org.jspecify.annotations.Nullable;

/**
 * Options of the links between hosts.
 *
 * @param connectTimeout the timeout for establishing a connection and for its handshake
 * @param idleTimeout how long a link may stay open without a message
 * @param maxFrameBytes the longest frame, in bytes
 * @param maxPendingMessages the number of messages that a link queues until its handshake is
 *     complete
 * @param serverTls the TLS settings of accepted links, or null for plain TCP
 * @param clientTls the TLS settings of opened links, or null for plain TCP
 */
public record PeerOptions(
    Duration connectTimeout,
    Duration idleTimeout,
    int maxFrameBytes,
    int maxPendingMessages,
    @Nullable SslContext serverTls,
    @Nullable SslContext clientTls) {

  private static final int DEFAULT_MAX_FRAME_BYTES = 1024 * 1024;
  private static final int DEFAULT_MAX_PENDING_MESSAGES = 10_000;

  /** Returns the default options without TLS. */
  public static PeerOptions defaults() {
    return new PeerOptions(
        Duration.ofMillis(500),
        Duration.ofSeconds(60),
        DEFAULT_MAX_FRAME_BYTES,
        DEFAULT_MAX_PENDING_MESSAGES,
        null,
        null);
  }

  /** Returns a copy that uses TLS on both sides. */
  public PeerOptions withTls(SslContext server, SslContext client) {
    return new PeerOptions(
        connectTimeout, idleTimeout, maxFrameBytes, maxPendingMessages, server, client);
  }
}
