package io.samphiredyke.gateway.scheduling;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.samphiredyke.core.membership.Member;
import io.samphiredyke.core.pool.Outcome;
import io.samphiredyke.core.pool.PoolOptions;
import io.samphiredyke.core.pool.SlotRefusal;
import io.samphiredyke.core.quarantine.RequestFingerprint;
import io.samphiredyke.gateway.log.DecisionLog;
import io.samphiredyke.net.control.ControlEventLoop;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Clock;
import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

/** Messages of hosts of earlier and later builds. */
@Timeout(60)
class MixedBuildsTest {

  private static final int UNKNOWN = 99;

  @Test
  void slotRequestOfBuildWithoutRoutesIsUnderstood() throws IOException {
    MessageBufferPacker packer = MessagePack.newDefaultBufferPacker();
    packer.packInt(1).packLong(7).packString("chat").packInt(2).packDouble(0.5);
    packer.packInt(10).packInt(20).packArrayHeader(0).packString("customer").packLong(30);
    packer.packBoolean(false).packArrayHeader(0).packNil().packLong(400).packLong(500);
    SchedulingMessage.Acquire acquire =
        (SchedulingMessage.Acquire) SchedulingMessageCodec.decode(packer.toByteArray());
    assertThat(acquire.route()).isEmpty();
    assertThat(acquire.rank()).isEqualTo(2);
    assertThat(acquire.startDeadlineMillis()).isEqualTo(500);
  }

  @Test
  void unknownReasonOfRefusalStillRefuses() throws IOException {
    MessageBufferPacker packer = MessagePack.newDefaultBufferPacker();
    packer.packInt(4).packLong(7).packInt(UNKNOWN).packLong(250);
    assertThat(SchedulingMessageCodec.decode(packer.toByteArray()))
        .isEqualTo(new SchedulingMessage.Refused(7, SlotRefusal.Reason.OVERLOADED, 250));
  }

  @Test
  void unknownOutcomeStillReleasesTheSlot() throws IOException {
    MessageBufferPacker packer = MessagePack.newDefaultBufferPacker();
    packer.packInt(7).packString("chat").packString("e").packLong(7).packInt(UNKNOWN);
    packer.packDouble(12);
    assertThat(SchedulingMessageCodec.decode(packer.toByteArray()))
        .isEqualTo(new SchedulingMessage.Released("chat", "e", 7, Outcome.WITHDRAWN, 12));
  }

  @Test
  void quarantineOfBuildWithoutTrialsIsUnderstood() throws IOException {
    MessageBufferPacker packer = MessagePack.newDefaultBufferPacker();
    packer.packInt(17).packString("customer").packLong(7);
    assertThat(SchedulingMessageCodec.decode(packer.toByteArray()))
        .isEqualTo(
            new SchedulingMessage.RequestQuarantined(
                new RequestFingerprint("customer", 7), 1, 1, 0));
  }

  @Test
  void unknownDatagramsAreSkippedWithOneCountedLine() throws Exception {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    try (DecisionLog log = new DecisionLog(out, Clock.systemUTC()::millis);
        DatagramSocket socket = new DatagramSocket()) {
      EventLoop eventLoop = group.next();
      String address = freeAddress();
      PeerGroup peers =
          new PeerGroup(
              new ControlEventLoop(eventLoop, Clock.systemUTC()),
              Member.builder().name("a").address(address).build(),
              new PoolOptions(1, 100, 0, 0, 300),
              Duration.ofSeconds(8),
              new SplittableRandom(1),
              log);
      peers.start(eventLoop, List.of()).join();
      byte[][] datagrams = {{1, UNKNOWN}, {1, UNKNOWN}, {UNKNOWN, 2, 3}, {0, (byte) 0x91, UNKNOWN}};
      int port = Integer.parseInt(address.substring(address.indexOf(':') + 1));
      for (byte[] datagram : datagrams) {
        socket.send(
            new DatagramPacket(
                datagram, datagram.length, new InetSocketAddress("127.0.0.1", port)));
      }
      while (eventLoop.submit(peers::malformedDatagrams).get() < datagrams.length) {
        Thread.sleep(1);
      }
      peers.closeSocket();
    } finally {
      group.shutdownGracefully();
    }
    List<String> skipped =
        out.toString(UTF_8).lines().filter(line -> line.contains("datagram_skipped")).toList();
    assertThat(skipped).hasSize(3).anyMatch(line -> line.contains("\"count\":4"));
  }

  private static String freeAddress() throws IOException {
    try (DatagramSocket socket = new DatagramSocket(0, InetAddress.getByName("127.0.0.1"))) {
      return "127.0.0.1:" + socket.getLocalPort();
    }
  }
}
