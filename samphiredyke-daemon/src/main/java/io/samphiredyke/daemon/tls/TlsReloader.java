package io.samphiredyke.daemon.tls;

import com.google.common.flogger.FluentLogger;
import io.netty.handler.ssl.ClientAuth;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.InputStream;

/**
 * Makes the TLS contexts of one side from its files, and again when the files change.
 *
 * <p>Files that cannot be read or do not fit together leave the contexts as they are, so that a
 * replacement of several files in steps does no harm. Not safe for use by several threads.
 */
public final class TlsReloader {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final TlsFiles files;
  private final Runnable onFailure;
  private final ReloadableSslContext server;
  private final ReloadableSslContext client;
  private TlsFiles.Content inForce;
  private boolean isFailing;

  /** The contexts made from one reading of the files. */
  private record Pair(SslContext server, SslContext client) {}

  private TlsReloader(TlsFiles files, TlsFiles.Content content, Pair pair, Runnable onFailure) {
    this.files = files;
    this.inForce = content;
    this.onFailure = onFailure;
    this.server = new ReloadableSslContext(pair.server());
    this.client = new ReloadableSslContext(pair.client());
  }

  /**
   * Reads the files for the first time.
   *
   * @param onFailure is told of each later reading that failed
   * @throws IOException if the files cannot be read or do not fit together
   */
  public static TlsReloader load(TlsFiles files, Runnable onFailure) throws IOException {
    TlsFiles.Content content = files.read();
    return new TlsReloader(files, content, contexts(content), onFailure);
  }

  /** Returns the context of the accepting side; it asks for certificates if there is trust. */
  public SslContext server() {
    return server;
  }

  /** Returns the context of the connecting side. */
  public SslContext client() {
    return client;
  }

  /**
   * Reads the files again.
   *
   * @return whether new contexts are in force
   */
  public boolean reload() {
    try {
      TlsFiles.Content content = files.read();
      if (content.isSameAs(inForce)) {
        isFailing = false;
        return false;
      }
      Pair pair = contexts(content);
      server.replace(pair.server());
      client.replace(pair.client());
      inForce = content;
      isFailing = false;
      logger.atInfo().log("TLS certificate %s reloaded", files.certificate());
      return true;
    } catch (IOException e) {
      failed(e);
      return false;
    }
  }

  private void failed(IOException cause) {
    onFailure.run();
    if (!isFailing) {
      isFailing = true;
      logger.atWarning().log(
          "TLS certificate %s cannot be reloaded, the old one stays: %s",
          files.certificate(), cause.getMessage());
    }
  }

  private static Pair contexts(TlsFiles.Content content) throws IOException {
    try {
      return new Pair(serverContext(content), clientContext(content));
    } catch (IllegalArgumentException e) {
      throw new IOException("certificate, key and trust do not fit: " + e.getMessage(), e);
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
   * Names are not compared: hosts are told apart by the handshake of the link, and any host whose
   * certificate is signed by the trusted ones may answer.
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
