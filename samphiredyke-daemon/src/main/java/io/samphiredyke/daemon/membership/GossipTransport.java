package io.samphiredyke.daemon.membership;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.samphiredyke.core.membership.GossipMessage;
import io.samphiredyke.net.control.SocketAddresses;
import io.samphiredyke.net.membership.GossipCodec;
import io.samphiredyke.net.peer.PeerKeys;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.Consumer;

/**
 * Sends and receives gossip messages as UDP datagrams.
 *
 * <p>A datagram consists of a 16-byte message authentication code, computed with a peer key, and
 * the message. Datagrams without a valid code are counted and dropped.
 */
public final class GossipTransport {

  private final Channel channel;
  private final PeerKeys keys;
  private final LongAdder bytesSent = new LongAdder();

  private GossipTransport(Channel channel, PeerKeys keys) {
    this.channel = channel;
    this.keys = keys;
  }

  /**
   * Binds an address and starts receiving.
   *
   * @param receiver receives the messages on the channel's event loop
   * @return the transport; fails with {@link java.net.BindException} when the address is in use
   */
  public static CompletableFuture<GossipTransport> start(
      EventLoopGroup group,
      InetSocketAddress address,
      PeerKeys keys,
      GossipCounters counters,
      Consumer<GossipMessage> receiver) {
    ChannelFuture bind =
        new Bootstrap()
            .group(group)
            .channel(NioDatagramChannel.class)
            .handler(new Receiver(keys, counters, receiver))
            .bind(address);
    CompletableFuture<GossipTransport> started = new CompletableFuture<>();
    bind.addListener(
        done -> {
          if (done.isSuccess()) {
            started.complete(new GossipTransport(bind.channel(), keys));
          } else {
            started.completeExceptionally(done.cause());
          }
        });
    return started;
  }

  /** Sends a message. Delivery is not guaranteed. */
  public void send(String address, GossipMessage message) {
    byte[] payload = GossipCodec.encode(message);
    ByteBuf datagram = Unpooled.wrappedBuffer(keys.datagramMac(payload), payload);
    bytesSent.add(datagram.readableBytes());
    channel.writeAndFlush(new DatagramPacket(datagram, SocketAddresses.parse(address)));
  }

  /** Returns the payload bytes sent. */
  public long bytesSent() {
    return bytesSent.sum();
  }

  /** Closes the socket. */
  public void stop() {
    channel.close();
  }

  /** Authenticates and decodes the received datagrams. */
  private static final class Receiver extends SimpleChannelInboundHandler<DatagramPacket> {

    private final PeerKeys keys;
    private final GossipCounters counters;
    private final Consumer<GossipMessage> receiver;

    Receiver(PeerKeys keys, GossipCounters counters, Consumer<GossipMessage> receiver) {
      this.keys = keys;
      this.counters = counters;
      this.receiver = receiver;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket datagram) {
      byte[] bytes = ByteBufUtil.getBytes(datagram.content());
      counters.countReceived(bytes.length);
      if (bytes.length <= PeerKeys.DATAGRAM_MAC_BYTES) {
        counters.countRejected();
        return;
      }
      byte[] mac = java.util.Arrays.copyOf(bytes, PeerKeys.DATAGRAM_MAC_BYTES);
      byte[] payload =
          java.util.Arrays.copyOfRange(bytes, PeerKeys.DATAGRAM_MAC_BYTES, bytes.length);
      if (!keys.isAuthentic(payload, mac)) {
        counters.countRejected();
        return;
      }
      decode(payload);
    }

    private void decode(byte[] payload) {
      try {
        receiver.accept(GossipCodec.decode(payload));
      } catch (IOException e) {
        counters.countRejected();
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      counters.countRejected();
    }
  }
}
