package io.samphiredyke.gateway.scheduling;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.netty.util.concurrent.Future;
import io.samphiredyke.core.membership.GossipMessage;
import io.samphiredyke.core.membership.Member;
import io.samphiredyke.core.membership.MemberChange;
import io.samphiredyke.core.membership.Membership;
import io.samphiredyke.core.membership.MembershipSettings;
import io.samphiredyke.core.membership.MembershipSink;
import io.samphiredyke.core.pool.PoolOptions;
import io.samphiredyke.gateway.log.DecisionLog;
import io.samphiredyke.net.control.ControlEventLoop;
import io.samphiredyke.net.control.SocketAddresses;
import io.samphiredyke.net.membership.GossipCodec;
import io.samphiredyke.platform.StoreRecord;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;

/**
 * The other hosts: who is alive, and the datagrams to them.
 *
 * <p>A datagram is one byte for its kind and a MessagePack message. Datagrams suit them: each
 * message stands alone, is repeated by its sender, and no connection can go silent.
 */
public final class PeerGroup implements MembershipSink {

  /** Longest datagram; Netty's own limit of 2,048 bytes cuts lists of entries off. */
  private static final int MAX_DATAGRAM_BYTES = 16 * 1024;

  /** How often it is looked at whether hosts are gone for good. */
  private static final Duration SHARE_CHECK = Duration.ofSeconds(1);

  private static final byte GOSSIP = 0;
  private static final byte PLACE = 1;

  private final ControlEventLoop loop;
  private final DecisionLog log;
  private final Membership membership;
  private final SlotClient places;
  private final CapacityShareEstimator completeness = new CapacityShareEstimator();
  private List<Member> knownLive = List.of();
  private @Nullable EndpointUpdateListener newsListener;
  private @Nullable Channel channel;
  private @Nullable Future<?> timer;
  private long malformed;

  /** Creates a group of this host alone. */
  public PeerGroup(
      ControlEventLoop loop,
      Member self,
      PoolOptions options,
      RandomGenerator random,
      DecisionLog log) {
    this.loop = loop;
    this.log = log;
    this.membership = new Membership(self, MembershipSettings.builder().build(), random, this);
    this.places =
        new SlotClient(
            loop,
            self.address(),
            options,
            random,
            log,
            (to, message) -> send(to, PLACE, SchedulingMessageCodec.encode(message)));
  }

  /** Binds the socket and starts to probe the seeds. */
  public CompletableFuture<Void> start(EventLoop eventLoop, Collection<String> seeds) {
    ChannelFuture bind =
        new Bootstrap()
            .group(eventLoop)
            .channel(NioDatagramChannel.class)
            .option(
                ChannelOption.RECVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(MAX_DATAGRAM_BYTES))
            .handler(new Receiver())
            .bind(SocketAddresses.parse(membership.self().address()));
    CompletableFuture<Void> started = new CompletableFuture<>();
    bind.addListener(
        done -> {
          if (!done.isSuccess()) {
            started.completeExceptionally(done.cause());
            return;
          }
          channel = bind.channel();
          membership.start(loop.nanoTime());
          membership.replaceSeeds(seeds, loop.nanoTime());
          completeness.listed(seeds);
          places.start();
          loop.scheduleWithFixedDelay(this::updateShare, SHARE_CHECK);
          changed();
          started.complete(null);
        });
    return started;
  }

  /** Replaces the addresses that are worth a contact. */
  public void seed(Collection<String> addresses) {
    membership.replaceSeeds(addresses, loop.nanoTime());
    completeness.listed(addresses);
    updateShare();
    changed();
  }

  /** Returns the way to places. */
  public SlotClient places() {
    return places;
  }

  /** Returns the hosts that are alive, this one included. */
  public List<Member> liveMembers() {
    return membership.liveMembers();
  }

  /** Returns those of the live hosts that are strong enough to work for the others. */
  public List<Member> strongMembers() {
    return HostCapacity.strong(membership.liveMembers());
  }

  /** Sets whether other hosts should pass this one over. */
  public void draining(boolean draining) {
    membership.draining(draining);
    changed();
  }

  /** Tells the other hosts which configuration is in force here. */
  public void configurationVersion(long version) {
    membership.configurationOffset(version);
  }

  /** Announces that this host goes. */
  public void leave() {
    membership.leave(loop.nanoTime());
    changed();
  }

  @Override
  public void send(String address, GossipMessage message) {
    send(address, GOSSIP, GossipCodec.encode(message));
  }

  private void send(String address, byte kind, byte[] message) {
    Channel open = channel;
    if (open != null) {
      ByteBuf datagram = Unpooled.buffer(message.length + 1).writeByte(kind).writeBytes(message);
      open.writeAndFlush(new DatagramPacket(datagram, SocketAddresses.parse(address)));
    }
  }

  @Override
  public void memberChanged(MemberChange change) {
    if (change.old() != change.current()) {
      log.event(
          "member",
          "host",
          change.member().name(),
          "address",
          change.member().address(),
          "state",
          change.current(),
          "cause",
          change.cause());
    }
    if (!change.current().isLive()) {
      places.ownerGone(change.member().address());
      completeness.gone(change.member().address(), loop.nanoTime());
    }
  }

  private void changed() {
    List<Member> live = membership.liveMembers();
    if (live != knownLive) {
      knownLive = live;
      places.choice().members(live);
      updateShare();
    }
    Future<?> pending = timer;
    if (pending != null) {
      pending.cancel(false);
    }
    long next = membership.nextTick();
    if (next != Long.MAX_VALUE) {
      timer = loop.schedule(this::tick, Duration.ofNanos(Math.max(0, next - loop.nanoTime())));
    }
  }

  private void updateShare() {
    long now = loop.nanoTime();
    places.scheduler().setCapacityShare(completeness.share(membership.liveMembers(), now), now);
  }

  private void tick() {
    membership.tick(loop.nanoTime());
    changed();
  }

  /** Receives entries of endpoints that another host read. */
  public interface EndpointUpdateListener {

    /** Some entries changed; all changes from an offset on are included. */
    void heard(long coveredFrom, long next, List<StoreRecord> changes);
  }

  /** Sets who learns of entries that other hosts read. */
  public void onEndpointNews(EndpointUpdateListener listener) {
    newsListener = listener;
  }

  /** Sends entries of endpoints to all other hosts. */
  public void tellEndpointNews(long coveredFrom, long next, List<StoreRecord> changes) {
    List<SchedulingMessage.EntryChange> encoded = new ArrayList<>();
    for (StoreRecord change : changes) {
      byte[] value = change.value();
      encoded.add(
          new SchedulingMessage.EntryChange(
              change.offset(), change.key(), value == null ? new byte[0] : value));
    }
    byte[] message =
        SchedulingMessageCodec.encode(
            new SchedulingMessage.EndpointUpdate(coveredFrom, next, encoded));
    for (Member member : membership.liveMembers()) {
      if (!member.address().equals(membership.self().address())) {
        send(member.address(), PLACE, message);
      }
    }
  }

  private void received(String from, SchedulingMessage message) {
    if (!(message instanceof SchedulingMessage.EndpointUpdate news)) {
      places.received(from, message);
      return;
    }
    EndpointUpdateListener listener = newsListener;
    if (listener != null) {
      List<StoreRecord> changes = new ArrayList<>();
      for (SchedulingMessage.EntryChange change : news.changes()) {
        byte[] value = change.value().length == 0 ? null : change.value();
        changes.add(new StoreRecord(change.offset(), change.key(), value));
      }
      listener.heard(news.coveredFrom(), news.next(), changes);
    }
  }

  /** Closes the socket without a word, as a cut or a kill would. */
  public void silence() {
    Channel open = channel;
    if (open != null) {
      open.close();
    }
  }

  /** Returns how many datagrams could not be read. */
  public long malformed() {
    return malformed;
  }

  private final class Receiver extends SimpleChannelInboundHandler<DatagramPacket> {

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket datagram) {
      ByteBuf content = datagram.content();
      if (content.readableBytes() < 2) {
        malformed++;
        return;
      }
      byte kind = content.readByte();
      byte[] message = ByteBufUtil.getBytes(content);
      try {
        if (kind == GOSSIP) {
          membership.received(GossipCodec.decode(message), loop.nanoTime());
          changed();
        } else {
          received(
              SocketAddresses.format(datagram.sender()), SchedulingMessageCodec.decode(message));
        }
      } catch (IOException e) {
        malformed++;
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      log.event("datagram_failed", "reason", String.valueOf(cause));
    }
  }
}
