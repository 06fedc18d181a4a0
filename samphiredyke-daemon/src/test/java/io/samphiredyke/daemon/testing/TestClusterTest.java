package io.samphiredyke.daemon.testing;

import static org.assertj.core.api.Assertions.assertThat;

import io.samphiredyke.net.http.HttpResponse;
import java.util.Map;
import org.junit.jupiter.api.Test;

class TestClusterTest {

  @Test
  void threeHostsAnswerRequestsOnceEach() {
    TestCluster.Builder builder =
        TestCluster.builder().host("host1", "dc1").host("host2", "dc2").host("host3", "dc3");
    try (TestCluster cluster = builder.start()) {
      for (String host : new String[] {"host1", "host2", "host3"}) {
        HttpResponse answer =
            TestCluster.join(
                cluster.chat(
                    host,
                    TestConfiguration.ALPHA,
                    TestCluster.chatBody("hello from " + host, 8, false),
                    Map.of()));
        assertThat(answer.status()).isEqualTo(200);
        assertThat(TestCluster.json(answer).path("choices")).hasSize(1);
      }
    }
  }
}
