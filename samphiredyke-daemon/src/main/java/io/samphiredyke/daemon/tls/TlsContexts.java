package io.samphiredyke.daemon.tls;

import io.samphiredyke.net.control.ControlEventLoop;
import io.samphiredyke.net.http.HttpServerOptions;
import io.samphiredyke.net.peer.PeerOptions;
import io.samphiredyke.schema.settings.DaemonSettings;
import java.io.IOException;
import java.time.Duration;
import org.jspecify.annotations.Nullable;

/** The TLS contexts for connections with callers and peers, created from the settings. */
public final class TlsContexts {

  /** The time between two checks of the files for changes. */
  public static final Duration RELOAD_INTERVAL = Duration.ofSeconds(5);

  private final @Nullable TlsReloader callers;
  private final @Nullable TlsReloader peers;

  private TlsContexts(@Nullable TlsReloader callers, @Nullable TlsReloader peers) {
    this.callers = callers;
    this.peers = peers;
  }

  /**
   * Loads the files that the settings name.
   *
   * @param onFailure called after each reload that failed
   * @throws IOException if the files cannot be read or do not match
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

  /** Returns the options of the server for callers, with TLS if it is configured. */
  public HttpServerOptions callerOptions(HttpServerOptions options) {
    TlsReloader reloader = callers;
    return reloader == null ? options : options.withTls(reloader.server());
  }

  /** Returns the options of connections with peers, with mutual TLS if it is configured. */
  public PeerOptions peerOptions(PeerOptions options) {
    TlsReloader reloader = peers;
    return reloader == null ? options : options.withTls(reloader.server(), reloader.client());
  }

  /** Starts reloading the files periodically. */
  public void start(ControlEventLoop loop) {
    if (callers == null && peers == null) {
      return;
    }
    loop.scheduleWithFixedDelay(this::reload, RELOAD_INTERVAL);
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
