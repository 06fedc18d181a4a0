package io.samphiredyke.daemon.testing;

import static org.assertj.core.api.Assertions.assertThat;

import io.samphiredyke.net.http.HttpResponse;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Tests that a cluster of three hosts starts and answers requests. */
class TestClusterTest {

  @Test
  void threeHostsAnswerRequests() {
    TestCluster.Builder builder =
        TestCluster.builder().host("host1", "dc1").host("host2", "dc2").host("host3", "dc3");
    try (TestCluster cluster = builder.start()) {
      for (String host : new String[] {"host1", "host2", "host3"}) {
        HttpResponse response =
            TestCluster.join(
                cluster.chat(
                    host,
                    TestConfiguration.ALPHA,
                    TestCluster.chatBody("hello from " + host, 8, false),
                    Map.of()));
        assertThat(response.status()).isEqualTo(200);
        assertThat(TestCluster.json(response).path("choices")).hasSize(1);
      }
    }
  }
}
