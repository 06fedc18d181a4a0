package io.samphiredyke.daemon.configuration;

import io.samphiredyke.core.config.PeerAnswer;
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

/** Asks other hosts for records of the configuration, and answers them. */
public final class PeerRecordExchange implements ConfigurationService.PeerSource {

  private static final Duration TIMEOUT = Duration.ofSeconds(1);

  private final ControlEventLoop loop;
  private final PeerClient peers;
  private final MembershipService membership;
  private final ConfigurationService configuration;

  /** Creates the exchange. */
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

  /** Adds the route of the messages that other hosts ask with. */
  public void register(MessageRouter router) {
    router.on(FetchRecords.class, this::onFetch);
  }

  private void onFetch(PeerIdentity from, FetchRecords message, Consumer<PeerMessage> reply) {
    PeerAnswer answer = configuration.answerPeer(message.fromOffset());
    if (answer != null) {
      String text = new String(ConfigurationCodec.encode(answer), StandardCharsets.UTF_8);
      reply.accept(Records.builder().answer(text).build());
    }
  }

  @Override
  public void ask(long fromOffset, Consumer<PeerAnswer> onAnswer) {
    List<Member> others =
        membership.liveMembers().stream()
            .filter(member -> member.configurationOffset() >= fromOffset)
            .toList();
    if (others.isEmpty()) {
      return;
    }
    Member chosen = others.get(Math.floorMod(loop.nanoTime(), others.size()));
    FetchRecords message = FetchRecords.builder().fromOffset(fromOffset).build();
    peers.request(
        chosen.address(),
        chosen.incarnation().toString(),
        message,
        TIMEOUT,
        reply -> onRecords(reply, onAnswer),
        failure -> {});
  }

  private static void onRecords(PeerMessage reply, Consumer<PeerAnswer> onAnswer) {
    if (!(reply instanceof Records records)) {
      return;
    }
    try {
      byte[] bytes = records.answer().getBytes(StandardCharsets.UTF_8);
      onAnswer.accept(ConfigurationCodec.decodePeerAnswer(bytes));
    } catch (ConfigurationFormatException e) {
      // A host of a later version may know items that this one does not; others may still help.
      return;
    }
  }
}
