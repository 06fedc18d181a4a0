package io.samphiredyke.daemon.tls;

import io.netty.channel.EventLoop;
import io.samphiredyke.net.http.HttpServerOptions;
import io.samphiredyke.net.peer.PeerOptions;
import io.samphiredyke.schema.settings.DaemonSettings;
import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/** TLS of a process on its callers' and its peers' side, by its settings. */
public final class TlsContexts {

  /** The time between two readings of the files. */
  public static final Duration RELOAD_INTERVAL = Duration.ofSeconds(5);

  private final @Nullable TlsReloader callers;
  private final @Nullable TlsReloader peers;

  private TlsContexts(@Nullable TlsReloader callers, @Nullable TlsReloader peers) {
    this.callers = callers;
    this.peers = peers;
  }

  /**
   * Reads the files that the settings name.
   *
   * @param onFailure is told of each later reading that failed
   * @throws IOException if files cannot be read or do not fit together
   */
  public static TlsContexts load(DaemonSettings settings, Runnable onFailure) throws IOException {
    TlsFiles callers =
        TlsFiles.of(
            settings.callerTlsCertificate(), settings.callerTlsKey(), settings.callerTlsTrust());
    TlsFiles peers =
        TlsFiles.of(settings.peerTlsCertificate(), settings.peerTlsKey(), settings.peerTlsTrust());
    return new TlsContexts(load(callers, onFailure), load(peers, onFailure));
  }

  private static @Nullable TlsReloader load(@Nullable TlsFiles files, Runnable onFailure)
      throws IOException {
    return files == null ? null : TlsReloader.load(files, onFailure);
  }

  /** Returns the options of the callers' server, with TLS if it is set up. */
  public HttpServerOptions callerOptions(HttpServerOptions options) {
    TlsReloader side = callers;
    return side == null ? options : options.withTls(side.server());
  }

  /** Returns the options of links to peers, with mutual TLS if it is set up. */
  public PeerOptions peerOptions(PeerOptions options) {
    TlsReloader side = peers;
    return side == null ? options : options.withTls(side.server(), side.client());
  }

  /** Starts to read the files again and again. */
  public void start(EventLoop loop) {
    if (callers == null && peers == null) {
      return;
    }
    long nanos = RELOAD_INTERVAL.toNanos();
    loop.scheduleWithFixedDelay(this::reload, nanos, nanos, TimeUnit.NANOSECONDS);
  }

  private void reload() {
    if (callers != null) {
      callers.reload();
    }
    if (peers != null) {
      peers.reload();
    }
  }
}
