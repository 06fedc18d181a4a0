package io.samphiredyke.daemon;

import static io.samphiredyke.daemon.testing.TestCluster.chatBody;
import static io.samphiredyke.daemon.testing.TestCluster.join;
import static io.samphiredyke.daemon.testing.TestConfiguration.ALPHA;
import static io.samphiredyke.daemon.testing.TestConfiguration.CHAT;
import static org.assertj.core.api.Assertions.assertThat;

import io.samphiredyke.daemon.testing.TestCluster;
import io.samphiredyke.net.http.HttpResponse;
import io.samphiredyke.schema.settings.type.NamedKey;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * Guards the rotation of peer and ticket keys, in which hosts are restarted one after the other and
 * use the same keys in different order for a while.
 */
class KeyRotationTest {

  private static final NamedKey OLD = NamedKey.parse("1:" + "0a".repeat(32));
  private static final NamedKey NEW = NamedKey.parse("2:" + "0c".repeat(32));

  /**
   * The statuses of a request whose ticket was accepted: answered, misdirected, or closed as not
   * executed by a successor that has no record of it.
   */
  private static final Object[] STATUSES_OF_ACCEPTED_TICKET = {200, 421, 503};

  @Test
  void hostsWithKeysInDifferentOrderInteroperate() {
    TestCluster.Builder builder =
        TestCluster.builder()
            .host("host1", "dc1")
            .host("host2", "dc2")
            .settings(
                settings ->
                    settings.toBuilder()
                        .peerKeys(List.of(OLD, NEW))
                        .ticketKeys(List.of(OLD, NEW))
                        .build());
    try (TestCluster cluster = builder.start()) {
      String oldTicket = cluster.ticket("host1", ALPHA, CHAT);
      cluster.restartHost("host2", KeyRotationTest::withNewKeyFirst);
      assertAnswered(cluster, "host1", Map.of());
      assertAnswered(cluster, "host2", Map.of());
      assertThat(statusOf(cluster, "host2", oldTicket)).isIn(STATUSES_OF_ACCEPTED_TICKET);
      String newTicket = cluster.ticket("host2", ALPHA, CHAT);
      assertThat(statusOf(cluster, "host1", newTicket)).isIn(STATUSES_OF_ACCEPTED_TICKET);
      cluster.restartHost("host1", KeyRotationTest::withNewKeyFirst);
      assertAnswered(cluster, "host1", Map.of());
    }
  }

  private static io.samphiredyke.schema.settings.DaemonSettings withNewKeyFirst(
      io.samphiredyke.schema.settings.DaemonSettings settings) {
    return settings.toBuilder().peerKeys(List.of(NEW, OLD)).ticketKeys(List.of(NEW, OLD)).build();
  }

  private static void assertAnswered(TestCluster cluster, String host, Map<String, String> id) {
    HttpResponse response = join(cluster.chat(host, ALPHA, chatBody("hello", 4, false), id));
    assertThat(response.status()).isEqualTo(200);
  }

  private static int statusOf(TestCluster cluster, String host, String ticket) {
    Map<String, String> id = Map.of("idempotency-key", ticket + ".1");
    return join(cluster.chat(host, ALPHA, chatBody("again", 4, false), id)).status();
  }
}
