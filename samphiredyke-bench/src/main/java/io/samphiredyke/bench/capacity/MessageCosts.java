package io.samphiredyke.bench.capacity;

import io.samphiredyke.net.peer.PeerMessageCodec;
import io.samphiredyke.schema.message.Acknowledgement;
import io.samphiredyke.schema.message.Claim;
import io.samphiredyke.schema.message.FirstToken;
import io.samphiredyke.schema.message.Grant;
import io.samphiredyke.schema.message.PeerMessage;
import io.samphiredyke.schema.message.RegisterReply;
import io.samphiredyke.schema.message.Release;
import io.samphiredyke.schema.message.Withdraw;
import io.samphiredyke.schema.message.WriteRegister;
import java.io.IOException;
import java.io.UncheckedIOException;

/** Measures size and processor time of the messages that hosts exchange for one request. */
final class MessageCosts {

  private static final int MESSAGES = 20_000;
  private static final int LENGTH_PREFIX_BYTES = 4;

  private final CostMeter meter;
  private final String id;
  private final String endpoint = SampleData.endpoint(700);

  MessageCosts(CostMeter meter) {
    SampleData samples = new SampleData();
    this.meter = meter;
    this.id = samples.tickets().encode(samples.ticket(1)) + ".1000";
  }

  void measure() throws IOException {
    measure("Claim", claim());
    measure("Grant", grant());
    measure("WriteRegister (intent)", intent());
    measure("RegisterReply", reply());
    measure("FirstToken", firstToken());
    measure("Release", release());
    measure("Withdraw", withdraw());
    measure("Acknowledgement", Acknowledgement.builder().build());
  }

  private void measure(String name, PeerMessage message) throws IOException {
    byte[] frame = PeerMessageCodec.encode(message);
    meter.add(
        new UnitCost(
            "message " + name, frame.length + LENGTH_PREFIX_BYTES, UnitCost.BYTES_SENT, 1));
    meter.measureTime(
        "message " + name + ": encode and decode", MESSAGES, i -> encodeAndDecode(message));
  }

  private static void encodeAndDecode(PeerMessage message) {
    try {
      PeerMessageCodec.decode(PeerMessageCodec.encode(message));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private Claim claim() {
    return Claim.builder()
        .requestId(id)
        .attempt(1)
        .endpoint(endpoint)
        .service(SampleData.service(7))
        .customer(SampleData.customer(700))
        .tierRank(1)
        .customerWeight(1)
        .remainingMicros(59_000_000)
        .promptTokens(800)
        .outputTokens(200)
        .build();
  }

  private Grant grant() {
    return Grant.builder()
        .requestId(id)
        .attempt(1)
        .endpoint(endpoint)
        .inFlight(20)
        .limit(24)
        .queuedByTier(new long[] {0, 1, 2, 3})
        .waitMicrosByTier(new long[] {0, 1_000, 20_000, 300_000})
        .prefillTokensPerSecond(8_000.5)
        .tokenIntervalMicros(30_000)
        .build();
  }

  private WriteRegister intent() {
    return WriteRegister.builder()
        .requestId(id)
        .operation(WriteRegister.Operation.INTENT)
        .attempt(1)
        .endpoint(endpoint)
        .bodyDigest(SampleData.DIGEST)
        .build();
  }

  private RegisterReply reply() {
    RegisterReply.Held held =
        new RegisterReply.Held(
            "00112233445566778899aabbccddeeff",
            RegisterReply.Held.State.INTENDED,
            1,
            endpoint,
            null,
            SampleData.DIGEST);
    return RegisterReply.builder()
        .requestId(id)
        .status(RegisterReply.Status.ACCEPTED)
        .record(held)
        .build();
  }

  private FirstToken firstToken() {
    return FirstToken.builder()
        .requestId(id)
        .attempt(1)
        .endpoint(endpoint)
        .firstTokenMicros(200_000)
        .build();
  }

  private Release release() {
    return Release.builder()
        .requestId(id)
        .attempt(1)
        .endpoint(endpoint)
        .outcome(Release.Outcome.COMPLETED)
        .firstTokenMicros(200_000)
        .meanTokenIntervalMicros(30_000)
        .outputTokens(200)
        .build();
  }

  private Withdraw withdraw() {
    return Withdraw.builder().requestId(id).attempt(2).endpoint(endpoint).build();
  }
}
