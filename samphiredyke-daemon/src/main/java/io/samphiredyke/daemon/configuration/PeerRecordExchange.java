package io.samphiredyke.daemon.configuration;

import io.samphiredyke.core.config.PeerResponse;
import io.samphiredyke.core.membership.Member;
import io.samphiredyke.daemon.membership.MembershipService;
import io.samphiredyke.daemon.peer.MessageRouter;
import io.samphiredyke.daemon.peer.PeerClient;
import io.samphiredyke.net.configuration.ConfigurationCodec;
import io.samphiredyke.net.configuration.ConfigurationFormatException;
import io.samphiredyke.net.control.ControlEventLoop;
import io.samphiredyke.net.peer.PeerIdentity;
import io.samphiredyke.schema.message.FetchRecords;
import io.samphiredyke.schema.message.PeerMessage;
import io.samphiredyke.schema.message.Records;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.function.Consumer;

/** Fetches configuration records from other hosts and serves such requests of other hosts. */
public final class PeerRecordExchange implements ConfigurationService.PeerRecordSource {

  private static final Duration TIMEOUT = Duration.ofSeconds(1);

  private final ControlEventLoop loop;
  private final PeerClient peers;
  private final MembershipService membership;
  private final ConfigurationService configuration;

  /** Creates an exchange that is not yet registered with a router. */
  public PeerRecordExchange(
      ControlEventLoop loop,
      PeerClient peers,
      MembershipService membership,
      ConfigurationService configuration) {
    this.loop = loop;
    this.peers = peers;
    this.membership = membership;
    this.configuration = configuration;
  }

  /** Registers the handler of other hosts' requests for records. */
  public void register(MessageRouter router) {
    router.addRoute(FetchRecords.class, this::onFetch);
  }

  private void onFetch(PeerIdentity from, FetchRecords message, Consumer<PeerMessage> reply) {
    PeerResponse response = configuration.respondToPeer(message.fromOffset());
    if (response != null) {
      String text = new String(ConfigurationCodec.encode(response), StandardCharsets.UTF_8);
      reply.accept(Records.builder().answer(text).build());
    }
  }

  @Override
  public void fetch(long fromOffset, Consumer<PeerResponse> onResponse) {
    List<Member> candidates =
        membership.liveMembers().stream()
            .filter(member -> member.configurationOffset() >= fromOffset)
            .toList();
    if (candidates.isEmpty()) {
      return;
    }
    Member chosen = candidates.get(Math.floorMod(loop.nanoTime(), candidates.size()));
    FetchRecords message = FetchRecords.builder().fromOffset(fromOffset).build();
    peers.request(
        chosen.address(),
        chosen.incarnation().toString(),
        message,
        TIMEOUT,
        reply -> onRecords(reply, onResponse),
        failure -> {});
  }

  private static void onRecords(PeerMessage reply, Consumer<PeerResponse> onResponse) {
    if (!(reply instanceof Records records)) {
      return;
    }
    try {
      byte[] bytes = records.answer().getBytes(StandardCharsets.UTF_8);
      onResponse.accept(ConfigurationCodec.decodePeerResponse(bytes));
    } catch (ConfigurationFormatException e) {
      // The peer may run a later version with item kinds unknown here; another peer may still help.
      return;
    }
  }
}
