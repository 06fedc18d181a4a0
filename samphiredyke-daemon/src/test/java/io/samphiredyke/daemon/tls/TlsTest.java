package io.samphiredyke.daemon.tls;

import static io.samphiredyke.daemon.testing.TestCluster.chatBody;
import static io.samphiredyke.daemon.testing.TestCluster.join;
import static io.samphiredyke.daemon.testing.TestConfiguration.ALPHA;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import io.samphiredyke.daemon.testing.TestCluster;
import io.samphiredyke.daemon.testing.TestConfiguration;
import io.samphiredyke.net.http.HttpClient;
import io.samphiredyke.net.http.HttpClientOptions;
import io.samphiredyke.net.http.HttpRequest;
import io.samphiredyke.net.http.HttpResponse;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Objects;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests TLS for callers and between hosts, and the reload of changed files. */
class TlsTest {

  @TempDir private Path directory;
  private Path certificate;
  private Path key;
  private Path trust;

  @BeforeEach
  void prepareFiles() throws IOException {
    certificate = directory.resolve("certificate.pem");
    key = directory.resolve("key.pem");
    trust = directory.resolve("trust.pem");
    installCertificate("first");
    Files.writeString(trust, resource("first-certificate") + resource("second-certificate"));
  }

  private void installCertificate(String name) throws IOException {
    Files.writeString(certificate, resource(name + "-certificate"));
    Files.writeString(key, resource(name + "-key"));
  }

  private static String resource(String name) throws IOException {
    try (InputStream in = TlsTest.class.getResourceAsStream("/tls/" + name + ".pem")) {
      return new String(Objects.requireNonNull(in).readAllBytes(), StandardCharsets.UTF_8);
    }
  }

  private static SslContext trusting(String name) throws IOException {
    try (InputStream in = TlsTest.class.getResourceAsStream("/tls/" + name + "-certificate.pem")) {
      return SslContextBuilder.forClient()
          .trustManager(in)
          .endpointIdentificationAlgorithm(null)
          .build();
    }
  }

  private TestCluster start() {
    return TestCluster.builder()
        .host("host1", "dc1")
        .host("host2", "dc2")
        .settings(
            settings ->
                settings.toBuilder()
                    .callerTlsCertificate(certificate)
                    .callerTlsKey(key)
                    .peerTlsCertificate(certificate)
                    .peerTlsKey(key)
                    .peerTlsTrust(trust)
                    .build())
        .start();
  }

  @Test
  void servesCallersAndPeersAndReloadsCertificates() throws IOException {
    try (TestCluster cluster = start()) {
      assertThat(ask(cluster, "first").status()).isEqualTo(200);
      assertThatThrownBy(() -> ask(cluster, "second")).isInstanceOf(RuntimeException.class);
      installCertificate("second");
      TestCluster.await("the new certificate to be served", () -> isAnswered(cluster, "second"));
      assertThat(ask(cluster, "second").status()).isEqualTo(200);
    }
  }

  private static boolean isAnswered(TestCluster cluster, String trusted) {
    try {
      return ask(cluster, trusted).status() == 200;
    } catch (IOException | RuntimeException e) {
      return false;
    }
  }

  private static HttpResponse ask(TestCluster cluster, String trusted) throws IOException {
    HttpClientOptions options = HttpClientOptions.defaults().withTls(trusting(trusted));
    HttpClient client = new HttpClient(cluster.group(), options);
    byte[] body = chatBody("hello", 4, false).getBytes(StandardCharsets.UTF_8);
    HttpRequest request =
        HttpRequest.post(cluster.callerAddress("host1"), "/v1/chat/completions", body)
            .header("authorization", TestCluster.bearer(ALPHA))
            .header("samphiredyke-service", TestConfiguration.CHAT)
            .timeout(Duration.ofSeconds(10))
            .build();
    try {
      return join(client.send(request));
    } finally {
      client.close();
    }
  }

  @Test
  void keepsContextsWhileFilesDoNotMatch() throws IOException {
    int[] failures = {0};
    TlsReloader reloader =
        TlsReloader.load(new TlsFiles(certificate, key, trust), () -> failures[0]++);
    Files.writeString(key, "no key");
    assertThat(reloader.reload()).isFalse();
    assertThat(failures[0]).isEqualTo(1);
    installCertificate("second");
    assertThat(reloader.reload()).isTrue();
    assertThat(reloader.reload()).isFalse();
  }
}
