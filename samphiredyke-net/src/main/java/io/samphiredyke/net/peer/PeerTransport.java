package io.samphiredyke.net.peer;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.util.concurrent.GlobalEventExecutor;
import io.samphiredyke.net.http.TcpProfile;
import io.samphiredyke.schema.message.PeerMessage;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import org.jspecify.annotations.Nullable;

/**
 * Sends and receives messages on the links between this process and its peers. Links are opened on
 * demand and closed when idle.
 */
public final class PeerTransport {

  private final EventLoopGroup group;
  private final Channel listener;
  private final ChannelGroup inbound;
  private final Handshake handshake;
  private final PeerOptions options;
  private final PeerCounters counters;
  private final Map<InetSocketAddress, OutboundLink> links = new ConcurrentHashMap<>();
  private volatile boolean stopped;

  private PeerTransport(
      EventLoopGroup group,
      Channel listener,
      ChannelGroup inbound,
      Handshake handshake,
      PeerOptions options,
      PeerCounters counters) {
    this.group = group;
    this.listener = listener;
    this.inbound = inbound;
    this.handshake = handshake;
    this.options = options;
    this.counters = counters;
  }

  /**
   * Binds the listening socket for peers.
   *
   * @return the transport; fails with {@link java.net.BindException} if the address is in use
   */
  public static CompletableFuture<PeerTransport> start(
      EventLoopGroup group,
      InetSocketAddress address,
      PeerIdentity self,
      PeerKeys keys,
      PeerOptions options,
      PeerHandler handler) {
    Handshake handshake = new Handshake(self, keys);
    PeerCounters counters = new PeerCounters();
    ChannelGroup inbound = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    ServerBootstrap bootstrap =
        new ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_BACKLOG, 1024)
            .childHandler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel channel) {
                    inbound.add(channel);
                    InboundLink link = new InboundLink(handshake, handler, counters);
                    LinkPipeline.build(channel, options.serverTls(), options, counters, link);
                  }
                });
    ChannelFuture bind = TcpProfile.UNPROBED.accepted(bootstrap).bind(address);
    CompletableFuture<PeerTransport> started = new CompletableFuture<>();
    bind.addListener(
        done -> {
          if (done.isSuccess()) {
            started.complete(
                new PeerTransport(group, bind.channel(), inbound, handshake, options, counters));
          } else {
            started.completeExceptionally(done.cause());
          }
        });
    return started;
  }

  /** Returns the bound address. */
  public InetSocketAddress address() {
    return (InetSocketAddress) listener.localAddress();
  }

  /** Returns the counters of all links. */
  public PeerCounters counters() {
    return counters;
  }

  /** Returns the number of open links to other hosts. */
  public int openLinks() {
    return links.size();
  }

  /**
   * Sends a message without a reply. The message may be lost.
   *
   * @param incarnation the process that must receive the message, or null for any process at the
   *     address
   */
  public void send(InetSocketAddress to, @Nullable String incarnation, PeerMessage message) {
    if (!stopped) {
      link(to).send(message, incarnation);
    }
  }

  /**
   * Sends a request.
   *
   * @param incarnation the process that must receive the message, or null for any process at the
   *     address
   * @return the reply; fails with {@link PeerUnreachableException}
   */
  public CompletableFuture<PeerMessage> request(
      InetSocketAddress to, @Nullable String incarnation, PeerMessage message, Duration timeout) {
    CompletableFuture<PeerMessage> reply = new CompletableFuture<>();
    if (stopped) {
      reply.completeExceptionally(
          new PeerUnreachableException("this process is shutting down", false));
      return reply;
    }
    link(to).request(message, incarnation, timeout.toNanos(), reply);
    return reply;
  }

  /** Returns the link to an address, a new one if there is none or it has closed. */
  OutboundLink link(InetSocketAddress to) {
    return links.compute(to, (address, existing) -> isUsable(existing) ? existing : open(address));
  }

  private static boolean isUsable(@Nullable OutboundLink link) {
    return link != null && !link.isClosed();
  }

  private OutboundLink open(InetSocketAddress address) {
    OutboundLink link =
        new OutboundLink(
            group.next(),
            address,
            handshake,
            options,
            counters,
            message -> resend(address, message));
    link.open();
    return link;
  }

  /** Sends a message that a closed link has not written. */
  private void resend(InetSocketAddress to, OutboundLink.UnsentMessage message) {
    CompletableFuture<PeerMessage> reply = message.reply();
    if (!stopped) {
      link(to).send(message);
    } else if (reply != null) {
      reply.completeExceptionally(
          new PeerUnreachableException("this process is shutting down", false));
    }
  }

  /** Closes the listening socket and all links. */
  public CompletableFuture<Void> stop() {
    stopped = true;
    links
        .values()
        .forEach(link -> link.loop().execute(() -> link.close("this process is shutting down")));
    links.clear();
    CompletableFuture<Void> done = new CompletableFuture<>();
    listener.close().addListener(closed -> inbound.close().addListener(all -> done.complete(null)));
    return done;
  }
}
