package io.samphiredyke.daemon.tls;

import com.google.common.flogger.FluentLogger;
import io.netty.handler.ssl.ClientAuth;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.InputStream;

/**
 * Creates TLS contexts from files and replaces them when the files change.
 *
 * <p>The active contexts stay in use while the files cannot be read or do not match, so the files
 * may be replaced one after the other. Not thread-safe.
 */
public final class TlsReloader {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final TlsFiles files;
  private final Runnable onFailure;
  private final ReloadableSslContext server;
  private final ReloadableSslContext client;
  private TlsFiles.Content active;
  private boolean isFailing;

  /** The contexts created from one state of the files. */
  private record ContextPair(SslContext server, SslContext client) {}

  private TlsReloader(
      TlsFiles files, TlsFiles.Content content, ContextPair pair, Runnable onFailure) {
    this.files = files;
    this.active = content;
    this.onFailure = onFailure;
    this.server = new ReloadableSslContext(pair.server());
    this.client = new ReloadableSslContext(pair.client());
  }

  /**
   * Creates the contexts from the files.
   *
   * @param onFailure called after each reload that failed
   * @throws IOException if the files cannot be read or do not match
   */
  public static TlsReloader load(TlsFiles files, Runnable onFailure) throws IOException {
    TlsFiles.Content content = files.read();
    return new TlsReloader(files, content, createContexts(content), onFailure);
  }

  /** Returns the server context, which requires client certificates if trust is configured. */
  public SslContext server() {
    return server;
  }

  /** Returns the client context. */
  public SslContext client() {
    return client;
  }

  /**
   * Reads the files again and replaces the contexts if the files have changed.
   *
   * @return whether the contexts were replaced
   */
  public boolean reload() {
    try {
      TlsFiles.Content content = files.read();
      if (content.isSameAs(active)) {
        isFailing = false;
        return false;
      }
      ContextPair pair = createContexts(content);
      server.replace(pair.server());
      client.replace(pair.client());
      active = content;
      isFailing = false;
      logger.atInfo().log("TLS certificate %s reloaded", files.certificate());
      return true;
    } catch (IOException e) {
      onReloadFailed(e);
      return false;
    }
  }

  private void onReloadFailed(IOException cause) {
    onFailure.run();
    if (!isFailing) {
      isFailing = true;
      logger.atWarning().log(
          "cannot reload TLS certificate %s; the previous one stays in use: %s",
          files.certificate(), cause.getMessage());
    }
  }

  private static ContextPair createContexts(TlsFiles.Content content) throws IOException {
    try {
      return new ContextPair(serverContext(content), clientContext(content));
    } catch (IllegalArgumentException e) {
      throw new IOException("certificate, key and trust do not match: " + e.getMessage(), e);
    }
  }

  private static SslContext serverContext(TlsFiles.Content content) throws IOException {
    SslContextBuilder builder =
        SslContextBuilder.forServer(stream(content.certificate()), stream(content.key()));
    byte[] trust = content.trust();
    if (trust != null) {
      builder.trustManager(stream(trust)).clientAuth(ClientAuth.REQUIRE);
    }
    return builder.build();
  }

  /**
   * Creates the client context. Host names are not verified, because hosts identify themselves in
   * the handshake of the peer protocol; any host with a certificate signed by a trusted one is
   * accepted.
   */
  private static SslContext clientContext(TlsFiles.Content content) throws IOException {
    SslContextBuilder builder =
        SslContextBuilder.forClient()
            .keyManager(stream(content.certificate()), stream(content.key()))
            .endpointIdentificationAlgorithm(null);
    byte[] trust = content.trust();
    if (trust != null) {
      builder.trustManager(stream(trust));
    }
    return builder.build();
  }

  private static InputStream stream(byte[] bytes) {
    return new ByteArrayInputStream(bytes);
  }
}
