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
import io.samphiredyke.core.membership.MemberState;
import io.samphiredyke.core.membership.Membership;
import io.samphiredyke.core.membership.MembershipSettings;
import io.samphiredyke.core.membership.MembershipSink;
import io.samphiredyke.core.pool.PoolOptions;
import io.samphiredyke.core.rollout.RolloutState;
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
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;

/**
 * Tracks the live hosts by gossip and exchanges datagrams with them.
 *
 * <p>A datagram consists of one byte for its kind and a MessagePack message. Datagrams are used
 * because messages are independent of each other and retransmitted by their sender, and because
 * there is no connection that could hang unnoticed.
 */
public final class PeerGroup implements MembershipSink {

  /** Receive buffer size; Netty's default of 2,048 bytes truncates longer endpoint updates. */
  private static final int MAX_DATAGRAM_BYTES = 16 * 1024;

  /** Interval at which the capacity share is recomputed and endpoints' statements expire. */
  private static final Duration UPDATE_INTERVAL = Duration.ofSeconds(1);

  private static final byte GOSSIP = 0;
  private static final byte SCHEDULING = 1;

  private final ControlEventLoop loop;
  private final DecisionLog log;
  private final Membership membership;
  private final SlotClient slotClient;
  private final EndpointStatements statements;
  private final PromptQuarantine quarantine;
  private final CrashWatch crashes;
  private final StreamOrigins streams;
  private final PeerMessageDispatcher dispatcher;
  private final RandomGenerator random;
  private final CapacityShareEstimator capacityShare;
  private final SkippedDatagrams skipped;
  private List<Member> lastLiveMembers = List.of();
  private @Nullable Channel channel;
  private @Nullable Future<?> timer;

  /**
   * Creates a group that contains only this host.
   *
   * @param quotaWindow time over which the usage of a quota is counted
   */
  public PeerGroup(
      ControlEventLoop loop,
      Member self,
      PoolOptions options,
      Duration quotaWindow,
      RandomGenerator random,
      DecisionLog log) {
    this.loop = loop;
    this.log = log;
    this.random = random;
    this.skipped = new SkippedDatagrams(log);
    this.capacityShare = new CapacityShareEstimator(quotaWindow);
    this.membership = new Membership(self, MembershipSettings.builder().build(), random, this);
    this.slotClient = new SlotClient(loop, self.address(), options, random, log, this::send);
    this.statements =
        new EndpointStatements(
            loop, self.address(), slotClient.scheduler(), this::send, this::broadcast, log);
    this.quarantine = new PromptQuarantine(loop, slotClient.scheduler(), this::broadcast, log);
    slotClient.scheduler().setQuarantineListener(quarantine);
    this.crashes = new CrashWatch(loop, slotClient.scheduler(), this::send, this::broadcast, log);
    this.streams = new StreamOrigins(loop, self.address(), this::otherHosts, this::send);
    this.dispatcher =
        new PeerMessageDispatcher(slotClient, statements, quarantine, crashes, streams);
  }

  /** Binds the socket and starts probing the seeds. */
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
          capacityShare.addRegistered(seeds);
          slotClient.start();
          loop.scheduleWithFixedDelay(this::updatePeriodically, UPDATE_INTERVAL);
          membersChanged();
          started.complete(null);
        });
    return started;
  }

  /** Replaces the seed addresses and adds them to the registered hosts. */
  public void replaceSeeds(Collection<String> addresses) {
    membership.replaceSeeds(addresses, loop.nanoTime());
    capacityShare.addRegistered(addresses);
    updateCapacityShare();
    membersChanged();
  }

  /** Returns the client that acquires slots. */
  public SlotClient slotClient() {
    return slotClient;
  }

  /** Returns what endpoints have stated about themselves. */
  public EndpointStatements statements() {
    return statements;
  }

  /** Returns the prompt parts that crash endpoints. */
  public PromptQuarantine quarantine() {
    return quarantine;
  }

  /** Returns the requests that crash endpoints. */
  public CrashWatch crashes() {
    return crashes;
  }

  /** Returns where streams began. */
  public StreamOrigins streams() {
    return streams;
  }

  /** Returns the live hosts, including this one. */
  public List<Member> liveMembers() {
    return membership.liveMembers();
  }

  /** Returns the live hosts with enough capacity to work for others. */
  public List<Member> highCapacityMembers() {
    return HostCapacity.highCapacity(membership.liveMembers());
  }

  /** Sets whether this host announces itself as draining, so that others do not select it. */
  public void setDraining(boolean draining) {
    membership.draining(draining);
    membersChanged();
  }

  /** Announces the version of the configuration that is active on this host. */
  public void setConfigurationVersion(long version) {
    membership.configurationOffset(version);
  }

  /** Announces to the group that this host leaves. */
  public void leave() {
    membership.leave(loop.nanoTime());
    membersChanged();
  }

  @Override
  public void send(String address, GossipMessage message) {
    send(address, GOSSIP, GossipCodec.encode(message));
  }

  private void send(String address, SchedulingMessage message) {
    send(address, SCHEDULING, SchedulingMessageCodec.encode(message));
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
    streams.memberChanged(change);
    boolean isReachable = change.current() == MemberState.ALIVE;
    if (isReachable && change.old() != MemberState.ALIVE && !isSelf(change.member())) {
      crashes.memberReturned(change.member().address());
      statements.memberReturned(change.member().address(), slotClient.selector());
    }
    if (!change.current().isLive()) {
      slotClient.hostGone(change.member().address());
      capacityShare.markUnreachable(change.member().address(), loop.nanoTime());
    }
  }

  private void membersChanged() {
    List<Member> live = membership.liveMembers();
    if (live != lastLiveMembers) {
      lastLiveMembers = live;
      slotClient.selector().setMembers(live);
      updateCapacityShare();
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

  private void updatePeriodically() {
    statements.expire();
    compareQuarantine();
    updateCapacityShare();
  }

  private void compareQuarantine() {
    List<String> others = otherHosts();
    if (!others.isEmpty()) {
      crashes.compareWith(others.get(random.nextInt(others.size())));
    }
  }

  private List<String> otherHosts() {
    return membership.liveMembers().stream()
        .filter(member -> !isSelf(member))
        .map(Member::address)
        .toList();
  }

  private boolean isSelf(Member member) {
    return member.address().equals(membership.self().address());
  }

  private void updateCapacityShare() {
    slotClient.scheduler().setCapacityShare(capacityShare(loop.nanoTime()), loop.nanoTime());
  }

  private void tick() {
    membership.tick(loop.nanoTime());
    membersChanged();
  }

  /** Sets the listener for endpoint updates of other hosts. */
  public void setEndpointUpdateListener(EndpointUpdateListener listener) {
    dispatcher.setEndpointUpdateListener(listener);
  }

  /** Sends changed endpoint entries to all other hosts. */
  public void broadcastEndpointUpdate(
      long era, long completeFrom, long nextOffset, List<StoreRecord> changes) {
    List<SchedulingMessage.EntryChange> encoded = new ArrayList<>();
    for (StoreRecord change : changes) {
      byte[] value = change.value();
      encoded.add(
          new SchedulingMessage.EntryChange(
              change.offset(), change.key(), value == null ? new byte[0] : value));
    }
    broadcast(new SchedulingMessage.EndpointUpdate(era, completeFrom, nextOffset, encoded));
  }

  /** Receives positions in the operator's topic that the store confirmed to another host. */
  @FunctionalInterface
  public interface ConfigurationPositionListener {

    /**
     * Called for each statement.
     *
     * @param from peer address of the other host
     */
    void positionStated(String from, long era, long nextOffset);
  }

  /** Sets the listener for configuration positions of other hosts. */
  public void setConfigurationPositionListener(ConfigurationPositionListener listener) {
    dispatcher.setConfigurationPositionListener(listener);
  }

  /** Sends the confirmed position in the operator's topic to all other hosts. */
  public void broadcastConfigurationPosition(long era, long nextOffset) {
    broadcast(new SchedulingMessage.ConfigurationPosition(era, nextOffset));
  }

  /** Sets the listener for stages of roll-outs that other hosts state. */
  public void setRolloutListener(Consumer<RolloutState> listener) {
    dispatcher.setRolloutListener(listener);
  }

  /** Sends the stage of a roll-out to all other hosts. */
  public void broadcastRollout(RolloutState state) {
    broadcast(new SchedulingMessage.RolloutStaged(state));
  }

  /** Returns whether this host is selected to schedule a service and sees half of the hosts. */
  public boolean isSchedulerOf(String service) {
    long now = loop.nanoTime();
    String selected = slotClient.selector().select(service, now);
    return selected.equals(membership.self().address()) && capacityShare(now) >= 1;
  }

  private double capacityShare(long now) {
    capacityShare.tick(now);
    return capacityShare.estimate(membership.liveMembers(), now);
  }

  private void broadcast(SchedulingMessage toAll) {
    byte[] message = SchedulingMessageCodec.encode(toAll);
    for (Member member : membership.liveMembers()) {
      if (!isSelf(member)) {
        send(member.address(), SCHEDULING, message);
      }
    }
  }

  /** Closes the socket without announcing it, like a network partition or a killed process. */
  public void closeSocket() {
    Channel open = channel;
    if (open != null) {
      open.close();
    }
  }

  /** Returns the number of datagrams that could not be decoded. */
  public long malformedDatagrams() {
    return skipped.count();
  }

  private final class Receiver extends SimpleChannelInboundHandler<DatagramPacket> {

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket datagram) {
      ByteBuf content = datagram.content();
      String from = SocketAddresses.format(datagram.sender());
      try {
        byte kind = content.isReadable() ? content.readByte() : -1;
        byte[] message = ByteBufUtil.getBytes(content);
        if (kind == GOSSIP) {
          membership.received(GossipCodec.decode(message), loop.nanoTime());
          membersChanged();
        } else if (kind == SCHEDULING) {
          dispatcher.received(from, SchedulingMessageCodec.decode(message));
        } else {
          skipped.add(from, "unknown kind of datagram " + kind);
        }
      } catch (IOException e) {
        skipped.add(from, String.valueOf(e.getMessage()));
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      log.event("datagram_failed", "reason", String.valueOf(cause));
    }
  }
}
