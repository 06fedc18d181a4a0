package io.samphiredyke.client.internal;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.util.concurrent.MockTicker;
import io.netty.util.concurrent.Ticker;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class SilentHostsTest {

  private static final List<InetSocketAddress> CHAIN = List.of(host(1), host(2), host(3));

  private final MockTicker ticker = Ticker.newMockTicker();
  private final SilentHosts hosts = new SilentHosts(ticker);

  private static InetSocketAddress host(int number) {
    return new InetSocketAddress("127.0.0.1", number);
  }

  private void advance(long nanos) {
    ticker.advance(nanos, TimeUnit.NANOSECONDS);
  }

  @Test
  void oneRequestAnIntervalTriesSilentHostUntilItResponds() {
    List<InetSocketAddress> avoidingFirst = List.of(host(2), host(3), host(1));
    hosts.recordSilence(host(1));
    assertThat(hosts.order(CHAIN)).isEqualTo(avoidingFirst);
    for (int i = 0; i < 3; i++) {
      advance(SilentHosts.RETRY_INTERVAL.toNanos() - 1);
      assertThat(hosts.order(CHAIN)).isEqualTo(avoidingFirst);
      advance(1);
      assertThat(hosts.order(CHAIN)).isEqualTo(CHAIN);
      assertThat(hosts.order(CHAIN)).isEqualTo(avoidingFirst);
    }
    hosts.recordResponse(host(1));
    assertThat(hosts.order(CHAIN)).isEqualTo(CHAIN);
    assertThat(hosts.order(CHAIN)).isEqualTo(CHAIN);
  }

  @Test
  void orderIsAsStatedIfAllHostsAreSilent() {
    CHAIN.forEach(hosts::recordSilence);
    assertThat(hosts.order(CHAIN)).isEqualTo(CHAIN);
  }

  @Test
  void memoryIsBounded() {
    for (int i = 1; i <= SilentHosts.MAX_HOSTS + 1; i++) {
      hosts.recordSilence(host(i));
    }
    assertThat(hosts.isSilent(host(1))).isFalse();
    assertThat(hosts.isSilent(host(2))).isTrue();
  }
}
