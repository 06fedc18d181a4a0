package io.samphiredyke.daemon.tls;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import org.jspecify.annotations.Nullable;

/**
 * The PEM files with the TLS certificate, key and trust of one kind of connection.
 *
 * @param certificate the certificate chain
 * @param key the private key, PKCS#8
 * @param trust the certificates that sign those of the other side, or null to require no client
 *     certificates
 */
public record TlsFiles(Path certificate, Path key, @Nullable Path trust) {

  /** Returns the files, or null if no certificate or key is configured. */
  public static @Nullable TlsFiles of(
      @Nullable Path certificate, @Nullable Path key, @Nullable Path trust) {
    return certificate == null || key == null ? null : new TlsFiles(certificate, key, trust);
  }

  /** The contents of the files at one point in time. */
  static final class Content {
    private final byte[] certificate;
    private final byte[] key;
    private final byte @Nullable [] trust;

    private Content(byte[] certificate, byte[] key, byte @Nullable [] trust) {
      this.certificate = certificate;
      this.key = key;
      this.trust = trust;
    }

    byte[] certificate() {
      return certificate;
    }

    byte[] key() {
      return key;
    }

    byte @Nullable [] trust() {
      return trust;
    }

    boolean isSameAs(Content other) {
      return Arrays.equals(certificate, other.certificate)
          && Arrays.equals(key, other.key)
          && Arrays.equals(trust, other.trust);
    }
  }

  Content read() throws IOException {
    Path trusted = trust;
    byte[] trustBytes = trusted == null ? null : Files.readAllBytes(trusted);
    return new Content(Files.readAllBytes(certificate), Files.readAllBytes(key), trustBytes);
  }
}
