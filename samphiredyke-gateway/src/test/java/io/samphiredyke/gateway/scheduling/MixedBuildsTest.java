package io.samphiredyke.gateway.scheduling;

import static org.assertj.core.api.Assertions.assertThat;

import io.samphiredyke.core.pool.Outcome;
import io.samphiredyke.core.pool.SlotRefusal;
import java.io.IOException;
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
}
