package io.samphiredyke.schema.message;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/** Tests that hosts of different versions can decode the messages of each other. */
class PeerMessageTest {

  private static final ObjectMapper MAPPER = new ObjectMapper(new MessagePackFactory());

  @ParameterizedTest
  @EnumSource
  void decodesAbsentAndUnknownFields(MessageType type) throws IOException {
    byte[] bytes = MAPPER.writeValueAsBytes(Map.of("fieldOfLaterVersion", List.of(1)));
    PeerMessage message = MAPPER.readValue(bytes, type.messageClass());
    assertThat(message.messageType()).isEqualTo(type);
    assertThat(roundTrip(message)).isEqualTo(message);
    assertThat(MessageType.ofNumber(type.number())).hasValue(type);
  }

  @Test
  void roundTripsAllValues() throws IOException {
    Claim claim =
        Claim.builder()
            .requestId("t.7")
            .attempt(2)
            .endpoint("engine-a")
            .remainingMicros(1L << 40)
            .build();
    assertThat(roundTrip(claim)).isEqualTo(claim).hasSameHashCodeAs(claim);
    Grant grant = Grant.builder().queuedByTier(new long[] {Long.MIN_VALUE, 3}).build();
    assertThat(roundTrip(grant)).isEqualTo(grant).hasSameHashCodeAs(grant);
    assertThat(grant.toBuilder().queuedByTier(new long[] {3}).build()).isNotEqualTo(grant);
    RegisterReply.Held held = RegisterReply.Held.builder().holder("a").attempt(1).build();
    RegisterReply reply = RegisterReply.builder().requestId("t.8").record(held).build();
    assertThat(roundTrip(reply)).isEqualTo(reply);
  }

  @Test
  void decodesEnumConstantsOfLaterVersions() throws IOException {
    byte[] bytes = MAPPER.writeValueAsBytes(Map.of("requestId", "t.7", "reason", "LATER"));
    Refusal refusal = MAPPER.readValue(bytes, Refusal.class);
    assertThat(refusal.requestId()).isEqualTo("t.7");
    assertThat(refusal.reason()).isEqualTo(Refusal.Reason.UNRECOGNIZED);
  }

  @Test
  void typeNumberOfLaterVersionIsUnknown() {
    assertThat(MessageType.ofNumber(9999)).isEmpty();
  }

  private static PeerMessage roundTrip(PeerMessage message) throws IOException {
    return MAPPER.readValue(
        MAPPER.writeValueAsBytes(message), message.messageType().messageClass());
  }
}
