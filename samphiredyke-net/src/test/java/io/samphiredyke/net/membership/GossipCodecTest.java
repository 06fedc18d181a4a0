package io.samphiredyke.net.membership;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.samphiredyke.core.membership.GossipHeader;
import io.samphiredyke.core.membership.GossipMessage;
import io.samphiredyke.core.membership.GossipUpdates;
import io.samphiredyke.core.membership.IncarnationId;
import io.samphiredyke.core.membership.Member;
import io.samphiredyke.core.membership.MemberState;
import io.samphiredyke.core.membership.StateUpdate;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Tests the encoding of gossip messages with random messages from fixed seeds. */
class GossipCodecTest {

  private static final int SEEDS = 200;

  private static Member member(Random random) {
    return Member.builder()
        .name("entry-" + "x".repeat(random.nextInt(40)))
        .address("10.2.3." + random.nextInt(256) + ":7400")
        .incarnation(IncarnationId.random(random))
        .dataCentre("oslø-" + random.nextInt(9))
        .state(MemberState.values()[random.nextInt(4)])
        .generation(number(random))
        .configurationOffset(number(random))
        .draining(random.nextBoolean())
        .build();
  }

  private static long number(Random random) {
    return random.nextLong() >>> (1 + random.nextInt(63));
  }

  private static GossipUpdates updates(Random random) {
    List<Member> members = new ArrayList<>();
    List<StateUpdate> states = new ArrayList<>();
    for (int i = random.nextInt(20); i > 0; i--) {
      Member member = member(random);
      members.add(member);
      states.add(StateUpdate.of(member, random.nextInt()));
    }
    return new GossipUpdates(members, states);
  }

  private static List<GossipMessage> messages(Random random) {
    Member self = member(random);
    GossipHeader header = GossipHeader.of(self);
    List<Integer> digests = random.ints(32).boxed().toList();
    return List.of(
        new GossipMessage.Ping(header, number(random), updates(random)),
        new GossipMessage.Ack(header, number(random), updates(random)),
        new GossipMessage.Nack(header, number(random)),
        new GossipMessage.PingRequest(
            header, number(random), self.address(), random.nextLong(), updates(random)),
        new GossipMessage.SyncRequest(header, self, random.nextBoolean(), digests, updates(random)),
        new GossipMessage.SyncReply(
            header,
            random.nextInt(),
            GossipMessage.SyncReply.Purpose.values()[random.nextInt(3)],
            updates(random)));
  }

  @Test
  void roundTripsMessagesAndComputesTheirSize() throws IOException {
    for (int seed = 0; seed < SEEDS; seed++) {
      for (GossipMessage message : messages(new Random(seed))) {
        byte[] bytes = GossipCodec.encode(message);
        assertThat(GossipCodec.decode(bytes)).isEqualTo(message);
        assertThat(bytes).as("%s", message).hasSize(message.encodedSize());
      }
    }
  }

  @Test
  void ignoresAppendedElements() throws IOException {
    GossipMessage.Nack nack = (GossipMessage.Nack) messages(new Random(1)).get(2);
    byte[] bytes = GossipCodec.encode(nack);
    byte[] longer = Arrays.copyOf(bytes, bytes.length + 1);
    longer[0]++;
    longer[bytes.length] = 7;
    assertThat(GossipCodec.decode(longer)).isEqualTo(nack);
  }

  @Test
  void rejectsTruncatedMessagesAndUnknownTypes() {
    byte[] bytes = GossipCodec.encode(messages(new Random(2)).get(0));
    for (int length = 0; length < bytes.length; length++) {
      byte[] shorter = Arrays.copyOf(bytes, length);
      assertThatThrownBy(() -> GossipCodec.decode(shorter)).isInstanceOf(IOException.class);
    }
    byte[] unknownType = bytes.clone();
    unknownType[1] = 99;
    assertThatThrownBy(() -> GossipCodec.decode(unknownType)).isInstanceOf(IOException.class);
  }
}
