package io.samphiredyke.net.peer;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.CorruptedFrameException;
import io.samphiredyke.schema.message.Hello;
import io.samphiredyke.schema.message.ReadRegister;
import java.io.IOException;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/**
 * Verifies that malformed frames and forged handshakes are rejected. Decoding a malformed frame may
 * only throw the exceptions that close the link.
 */
class MalformedPeerMessageTest {

  private static final PeerKeys KEYS = new PeerKeys(List.of(new PeerKey("1", new byte[32])));
  private static final PeerIdentity SELF = new PeerIdentity("a", "a-1", "127.0.0.1:1", "dc1");
  private static final PeerIdentity OTHER = new PeerIdentity("b", "b-1", "127.0.0.1:2", "dc2");
  private static final int MESSAGE_TYPES = 64;

  @Property(tries = 2_000, seed = "20261203")
  void malformedFramesFailOrAreSkipped(@ForAll long seed) {
    Random random = new Random(seed);
    byte[] body = new byte[random.nextInt(64)];
    random.nextBytes(body);
    ByteBuf frame = Unpooled.buffer();
    frame.writeShort(random.nextInt(MESSAGE_TYPES)).writeLong(random.nextLong()).writeBytes(body);
    decodeOrFail(frame);
  }

  @Property(tries = 2_000, seed = "20261204")
  void corruptedFramesFailOrDecodeToOtherMessages(@ForAll long seed) throws IOException {
    Random random = new Random(seed);
    ReadRegister message = ReadRegister.builder().requestId("id-" + seed).build();
    ByteBuf frame = PeerFrameCodec.encode(Unpooled.buffer(), new PeerFrame(1, message));
    for (int flips = random.nextInt(6); flips >= 0; flips--) {
      frame.setByte(random.nextInt(frame.writerIndex()), random.nextInt(256));
    }
    decodeOrFail(frame);
  }

  /** Decodes a frame and accepts only the exceptions that close the link. */
  private static void decodeOrFail(ByteBuf frame) {
    try {
      PeerFrameCodec.decode(frame);
    } catch (IOException | CorruptedFrameException e) {
      assertThat(e).isNotNull();
    }
  }

  @Test
  void rejectsLengthsThatExceedTheFrame() {
    ByteBuf frame = Unpooled.buffer();
    frame.writeShort(1).writeLong(1);
    // A map of one entry: the key "x", and binary data with a declared length of 2 GiB.
    frame.writeByte(0x81).writeByte(0xa1).writeByte('x');
    frame.writeByte(0xc6).writeInt(Integer.MAX_VALUE);
    assertThatThrownBy(() -> PeerFrameCodec.decode(frame))
        .isInstanceOf(CorruptedFrameException.class);
  }

  @Test
  void rejectsIncarnationThatTheProofDoesNotCover() {
    Hello genuine = helloOf(OTHER);
    Hello forged = helloOf(OTHER, new PeerIdentity("b", "c-1", "127.0.0.1:2", "dc2"));
    Handshake server = new Handshake(SELF, KEYS);
    assertThat(server.isAuthentic(genuine, "client", "server")).isTrue();
    assertThat(server.isAuthentic(forged, "client", "server")).isFalse();
  }

  @Test
  void rejectsDataCentreThatTheProofDoesNotCover() {
    Handshake server = new Handshake(SELF, KEYS);
    Hello forged = helloOf(OTHER, new PeerIdentity("b", "b-1", "127.0.0.1:2", "dc1"));
    assertThat(server.isAuthentic(forged, "client", "server")).isFalse();
  }

  private static Hello helloOf(PeerIdentity identity) {
    return helloOf(identity, identity);
  }

  /** Returns a message that claims one identity and carries the proof of another. */
  private static Hello helloOf(PeerIdentity proved, PeerIdentity claimed) {
    String proof =
        new Handshake(proved, KEYS)
            .clientProof(
                new Handshake(SELF, KEYS)
                    .welcome(new Handshake(proved, KEYS).hello("client", ""), "server"),
                "client");
    return new Handshake(claimed, KEYS).hello("client", proof);
  }
}
