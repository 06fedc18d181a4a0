package io.samphiredyke.net.peer;

import io.netty.handler.ssl.SslContext;
import java.time.Duration;
import org.jspecify.annotations.Nullable;

/**
 * Limits of links between hosts.
 *
 * @param connectTimeout how long a connection and its handshake may take
 * @param idleTimeout how long a link stays open without a message
 * @param maxFrameBytes the longest message, in bytes
 * @param maxPendingMessages how many messages a link holds before it is up
 * @param serverTls the TLS settings of the listener, or null for plain TCP
 * @param clientTls the TLS settings of links to others, or null for plain TCP
 */
public record PeerOptions(
    Duration connectTimeout,
    Duration idleTimeout,
    int maxFrameBytes,
    int maxPendingMessages,
    @Nullable SslContext serverTls,
    @Nullable SslContext clientTls) {

  private static final int DEFAULT_FRAME_BYTES = 1024 * 1024;
  private static final int DEFAULT_PENDING = 10_000;

  /** Returns usual limits without TLS. */
  public static PeerOptions defaults() {
    return new PeerOptions(
        Duration.ofMillis(500),
        Duration.ofSeconds(60),
        DEFAULT_FRAME_BYTES,
        DEFAULT_PENDING,
        null,
        null);
  }

  /** Returns the same limits with TLS on both sides. */
  public PeerOptions withTls(SslContext server, SslContext client) {
    return new PeerOptions(
        connectTimeout, idleTimeout, maxFrameBytes, maxPendingMessages, server, client);
  }
}
