package io.samphiredyke.gateway.place;

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
import io.samphiredyke.net.control.Addresses;
import io.samphiredyke.net.control.ControlLoop;
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
  private static final Duration QUOTA_SHARE_INTERVAL = Duration.ofSeconds(1);

  private static final byte GOSSIP = 0;
  private static final byte SCHEDULING = 1;

  private final ControlLoop loop;
  private final DecisionLog log;
  private final Membership membership;
  private final PlaceClient slotClient;
  private final GroupCompleteness completeness = new GroupCompleteness();
  private List<Member> knownLive = List.of();
  private @Nullable NewsListener endpointUpdateListener;
  private @Nullable Channel channel;
  private @Nullable Future<?> timer;
  private long malformedDatagrams;

  /** Creates a group of this host alone. */
  public PeerGroup(
      ControlLoop loop, Member self, PoolOptions options, RandomGenerator random, DecisionLog log) {
    this.loop = loop;
    this.log = log;
    this.membership = new Membership(self, MembershipSettings.builder().build(), random, this);
    this.slotClient =
        new PlaceClient(
            loop,
            self.address(),
            options,
            random,
            log,
            (to, message) -> send(to, SCHEDULING, PlaceCodec.encode(message)));
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
            .bind(Addresses.parse(membership.self().address()));
    CompletableFuture<Void> started = new CompletableFuture<>();
    bind.addListener(
        done -> {
          if (!done.isSuccess()) {
            started.completeExceptionally(done.cause());
            return;
          }
          channel = bind.channel();
          membership.start(loop.now());
          membership.seed(seeds, loop.now());
          completeness.registered(seeds);
          slotClient.start();
          loop.repeat(this::updateQuotaShare, QUOTA_SHARE_INTERVAL);
          membersChanged();
          started.complete(null);
        });
    return started;
  }

  /** Replaces the addresses that are worth a contact. */
  public void replaceSeeds(Collection<String> addresses) {
    membership.seed(addresses, loop.now());
    completeness.registered(addresses);
    updateQuotaShare();
    membersChanged();
  }

  /** Returns the way to places. */
  public PlaceClient slotClient() {
    return slotClient;
  }

  /** Returns the hosts that are alive, this one included. */
  public List<Member> liveMembers() {
    return membership.liveMembers();
  }

  /** Returns those of the live hosts that are strong enough to work for the others. */
  public List<Member> highCapacityMembers() {
    return HostCapacity.highCapacity(membership.liveMembers());
  }

  /** Sets whether other hosts should pass this one over. */
  public void setDraining(boolean draining) {
    membership.draining(draining);
    membersChanged();
  }

  /** Tells the other hosts which configuration is in force here. */
  public void setConfigurationVersion(long version) {
    membership.configurationOffset(version);
  }

  /** Announces that this host goes. */
  public void leave() {
    membership.leave(loop.now());
    membersChanged();
  }

  @Override
  public void send(String address, GossipMessage message) {
    send(address, GOSSIP, GossipCodec.encode(message));
  }

  private void send(String address, byte kind, byte[] message) {
    Channel open = channel;
    if (open != null) {
      ByteBuf datagram = Unpooled.buffer(message.length + 1).writeByte(kind).writeBytes(message);
      open.writeAndFlush(new DatagramPacket(datagram, Addresses.parse(address)));
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
      slotClient.hostGone(change.member().address());
      completeness.markUnreachable(change.member().address(), loop.now());
    }
  }

  private void membersChanged() {
    List<Member> live = membership.liveMembers();
    if (live != knownLive) {
      knownLive = live;
      slotClient.selector().setMembers(live);
      updateQuotaShare();
    }
    Future<?> pending = timer;
    if (pending != null) {
      pending.cancel(false);
    }
    long next = membership.nextTick();
    if (next != Long.MAX_VALUE) {
      timer = loop.schedule(this::tick, Duration.ofNanos(Math.max(0, next - loop.now())));
    }
  }

  private void updateQuotaShare() {
    long now = loop.now();
    slotClient.scheduler().share(completeness.grantableShare(membership.liveMembers(), now), now);
  }

  private void tick() {
    membership.tick(loop.now());
    membersChanged();
  }

  /** Receives entries of endpoints that another host read. */
  public interface NewsListener {

    /** Some entries changed; all changes from an offset on are included. */
    void endpointsUpdated(long coveredFrom, long next, List<StoreRecord> changes);
  }

  /** Sets who learns of entries that other hosts read. */
  public void setEndpointUpdateListener(NewsListener listener) {
    endpointUpdateListener = listener;
  }

  /** Sends entries of endpoints to all other hosts. */
  public void broadcastEndpointUpdate(long coveredFrom, long next, List<StoreRecord> changes) {
    List<PlaceMessage.EntryChange> encoded = new ArrayList<>();
    for (StoreRecord change : changes) {
      byte[] value = change.value();
      encoded.add(
          new PlaceMessage.EntryChange(
              change.offset(), change.key(), value == null ? new byte[0] : value));
    }
    byte[] message = PlaceCodec.encode(new PlaceMessage.EndpointNews(coveredFrom, next, encoded));
    for (Member member : membership.liveMembers()) {
      if (!member.address().equals(membership.self().address())) {
        send(member.address(), SCHEDULING, message);
      }
    }
  }

  private void received(String from, PlaceMessage message) {
    if (!(message instanceof PlaceMessage.EndpointNews news)) {
      slotClient.received(from, message);
      return;
    }
    NewsListener listener = endpointUpdateListener;
    if (listener != null) {
      List<StoreRecord> changes = new ArrayList<>();
      for (PlaceMessage.EntryChange change : news.changes()) {
        byte[] value = change.value().length == 0 ? null : change.value();
        changes.add(new StoreRecord(change.offset(), change.key(), value));
      }
      listener.endpointsUpdated(news.completeFrom(), news.nextOffset(), changes);
    }
  }

  /** Closes the socket without a word, as a cut or a kill would. */
  public void closeSocket() {
    Channel open = channel;
    if (open != null) {
      open.close();
    }
  }

  /** Returns how many datagrams could not be read. */
  public long malformedDatagrams() {
    return malformedDatagrams;
  }

  private final class Receiver extends SimpleChannelInboundHandler<DatagramPacket> {

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket datagram) {
      ByteBuf content = datagram.content();
      if (content.readableBytes() < 2) {
        malformedDatagrams++;
        return;
      }
      byte kind = content.readByte();
      byte[] message = ByteBufUtil.getBytes(content);
      try {
        if (kind == GOSSIP) {
          membership.received(GossipCodec.decode(message), loop.now());
          membersChanged();
        } else {
          received(Addresses.format(datagram.sender()), PlaceCodec.decode(message));
        }
      } catch (IOException e) {
        malformedDatagrams++;
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      log.event("datagram_failed", "reason", String.valueOf(cause));
    }
  }
}
