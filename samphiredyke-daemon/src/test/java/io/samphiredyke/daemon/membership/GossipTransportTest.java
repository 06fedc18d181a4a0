package io.samphiredyke.daemon.membership;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.samphiredyke.daemon.testing.TestCluster;
import io.samphiredyke.net.peer.PeerKey;
import io.samphiredyke.net.peer.PeerKeys;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/**
 * Guards against invalid datagrams: forged ones, truncated ones, and random payloads with a valid
 * authentication code. All must be dropped and counted.
 */
class GossipTransportTest {

  private static final long SEED = 20_261_203L;
  private static final int DATAGRAMS = 300;

  @Test
  void rejectsInvalidDatagrams() throws IOException {
    EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    PeerKeys keys = new PeerKeys(List.of(new PeerKey("1", new byte[32])));
    GossipCounters counters = new GossipCounters();
    AtomicInteger received = new AtomicInteger();
    try (DatagramSocket probe = new DatagramSocket(0)) {
      InetSocketAddress address = new InetSocketAddress("127.0.0.1", probe.getLocalPort());
      probe.close();
      GossipTransport transport =
          GossipTransport.start(
                  group, address, keys, counters, message -> received.incrementAndGet())
              .join();
      try (DatagramSocket socket = new DatagramSocket()) {
        Random random = new Random(SEED);
        for (int i = 0; i < DATAGRAMS; i++) {
          byte[] bytes = datagram(keys, random, i);
          socket.send(new DatagramPacket(bytes, bytes.length, address));
          int sent = i + 1;
          TestCluster.await(
              "datagram " + i + " to be rejected", () -> counters.rejectedDatagrams() == sent);
        }
      }
      transport.stop();
    } finally {
      group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
    assertThat(received).hasValue(0);
  }

  private static byte[] datagram(PeerKeys keys, Random random, int number) {
    byte[] payload = new byte[1 + random.nextInt(100)];
    random.nextBytes(payload);
    byte[] mac = keys.datagramMac(payload);
    if (number % 3 == 0) {
      mac[random.nextInt(mac.length)] ^= 1;
    }
    byte[] datagram = Arrays.copyOf(mac, mac.length + payload.length);
    System.arraycopy(payload, 0, datagram, mac.length, payload.length);
    return number % 3 == 1 ? Arrays.copyOf(datagram, random.nextInt(datagram.length)) : datagram;
  }
}
