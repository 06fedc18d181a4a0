package io.samphiredyke.gateway.scheduling;

import io.samphiredyke.core.pool.Outcome;
import io.samphiredyke.core.pool.PromptPart;
import io.samphiredyke.core.pool.SlotRefusal;
import io.samphiredyke.core.pool.WorkEstimate;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Encodes {@link SchedulingMessage}s as a MessagePack number of the type followed by its fields.
 */
final class SchedulingMessageCodec {

  private static final int ASK = 1;
  private static final int QUEUED = 2;
  private static final int GRANTED = 3;
  private static final int REFUSED = 4;
  private static final int WITHDRAWN = 5;
  private static final int STARTED = 6;
  private static final int RELEASED = 7;
  private static final int HOLDING = 8;
  private static final int ENDPOINT_NEWS = 9;

  private SchedulingMessageCodec() {}

  static byte[] encode(SchedulingMessage message) {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      write(packer, message);
      return packer.toByteArray();
    } catch (IOException e) {
      throw new java.io.UncheckedIOException(e);
    }
  }

  private static void write(MessagePacker packer, SchedulingMessage message) throws IOException {
    if (message instanceof SchedulingMessage.Acquire ask) {
      writeAsk(packer.packInt(ASK), ask);
    } else if (message instanceof SchedulingMessage.Queued queued) {
      packer.packInt(QUEUED).packLong(queued.claimId());
    } else if (message instanceof SchedulingMessage.Granted granted) {
      packer.packInt(GRANTED).packLong(granted.claimId()).packString(granted.endpointId());
    } else if (message instanceof SchedulingMessage.Refused refused) {
      packer.packInt(REFUSED).packLong(refused.claimId()).packInt(refused.reason().ordinal());
      packer.packLong(refused.retryAfterMillis());
    } else if (message instanceof SchedulingMessage.Withdrawn withdrawn) {
      packer.packInt(WITHDRAWN).packString(withdrawn.service()).packLong(withdrawn.claimId());
    } else if (message instanceof SchedulingMessage.Started started) {
      packer.packInt(STARTED).packString(started.service()).packString(started.endpointId());
      packer.packLong(started.claimId()).packDouble(started.millis());
    } else if (message instanceof SchedulingMessage.Released released) {
      packer.packInt(RELEASED).packString(released.service()).packString(released.endpointId());
      packer.packLong(released.claimId()).packInt(released.outcome().ordinal());
      packer.packDouble(released.millis());
    } else if (message instanceof SchedulingMessage.HeldSlotsReport holding) {
      writeHolding(packer.packInt(HOLDING), holding);
    } else if (message instanceof SchedulingMessage.EndpointUpdate news) {
      writeNews(packer.packInt(ENDPOINT_NEWS), news);
    }
  }

  private static void writeAsk(MessagePacker packer, SchedulingMessage.Acquire ask)
      throws IOException {
    packer.packLong(ask.claimId()).packString(ask.service()).packInt(ask.rank());
    packer.packDouble(ask.value());
    packer.packInt(ask.work().promptTokens()).packInt(ask.work().outputTokens());
    packer.packArrayHeader(ask.work().parts().size());
    for (PromptPart part : ask.work().parts()) {
      packer.packLong(part.id()).packInt(part.tokens());
    }
    packer.packString(ask.customer()).packLong(ask.quotaUnits()).packBoolean(ask.isRepeat());
    packer.packArrayHeader(ask.excluded().size());
    for (String endpoint : ask.excluded()) {
      packer.packString(endpoint);
    }
    packer.packLong(ask.dueMillis()).packLong(ask.patienceMillis());
  }

  private static void writeHolding(MessagePacker packer, SchedulingMessage.HeldSlotsReport holding)
      throws IOException {
    packer.packArrayHeader(holding.places().size());
    for (SchedulingMessage.HeldSlot held : holding.places()) {
      packer.packLong(held.claimId()).packString(held.service()).packString(held.endpointId());
      packer.packInt(held.promptTokens()).packInt(held.outputTokens());
    }
    packer.packMapHeader(holding.usedElsewhere().size());
    for (Map.Entry<String, Long> used : holding.usedElsewhere().entrySet()) {
      packer.packString(used.getKey()).packLong(used.getValue());
    }
  }

  private static void writeNews(MessagePacker packer, SchedulingMessage.EndpointUpdate news)
      throws IOException {
    packer.packLong(news.coveredFrom()).packLong(news.next());
    packer.packArrayHeader(news.changes().size());
    for (SchedulingMessage.EntryChange change : news.changes()) {
      packer.packLong(change.offset()).packString(change.key());
      packer.packBinaryHeader(change.value().length).writePayload(change.value());
    }
  }

  /**
   * Decodes a message.
   *
   * @throws IOException if the bytes are no message that this version knows
   */
  static SchedulingMessage decode(byte[] bytes) throws IOException {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
      return read(unpacker);
    } catch (MessagePackException | IndexOutOfBoundsException e) {
      throw new IOException("malformed message", e);
    }
  }

  private static SchedulingMessage read(MessageUnpacker in) throws IOException {
    int type = in.unpackInt();
    return switch (type) {
      case ASK -> readAsk(in);
      case QUEUED -> new SchedulingMessage.Queued(in.unpackLong());
      case GRANTED -> new SchedulingMessage.Granted(in.unpackLong(), in.unpackString());
      case REFUSED ->
          new SchedulingMessage.Refused(
              in.unpackLong(), SlotRefusal.Reason.values()[in.unpackInt()], in.unpackLong());
      case WITHDRAWN -> new SchedulingMessage.Withdrawn(in.unpackString(), in.unpackLong());
      case STARTED ->
          new SchedulingMessage.Started(
              in.unpackString(), in.unpackString(), in.unpackLong(), in.unpackDouble());
      case RELEASED ->
          new SchedulingMessage.Released(
              in.unpackString(),
              in.unpackString(),
              in.unpackLong(),
              Outcome.values()[in.unpackInt()],
              in.unpackDouble());
      case HOLDING -> readHolding(in);
      case ENDPOINT_NEWS -> readNews(in);
      default -> throw new IOException("unknown message type " + type);
    };
  }

  private static SchedulingMessage.Acquire readAsk(MessageUnpacker in) throws IOException {
    long claimId = in.unpackLong();
    String service = in.unpackString();
    int rank = in.unpackInt();
    double value = in.unpackDouble();
    int prompt = in.unpackInt();
    int output = in.unpackInt();
    int partCount = in.unpackArrayHeader();
    List<PromptPart> parts = new ArrayList<>();
    for (int i = 0; i < partCount; i++) {
      parts.add(new PromptPart(in.unpackLong(), in.unpackInt()));
    }
    String customer = in.unpackString();
    long quotaUnits = in.unpackLong();
    boolean isRepeat = in.unpackBoolean();
    int excludedCount = in.unpackArrayHeader();
    Set<String> excluded = new HashSet<>();
    for (int i = 0; i < excludedCount; i++) {
      excluded.add(in.unpackString());
    }
    return new SchedulingMessage.Acquire(
        claimId,
        service,
        rank,
        value,
        new WorkEstimate(prompt, output, List.copyOf(parts)),
        customer,
        quotaUnits,
        isRepeat,
        Set.copyOf(excluded),
        in.unpackLong(),
        in.unpackLong());
  }

  private static SchedulingMessage.HeldSlotsReport readHolding(MessageUnpacker in)
      throws IOException {
    int count = in.unpackArrayHeader();
    List<SchedulingMessage.HeldSlot> places = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      places.add(
          new SchedulingMessage.HeldSlot(
              in.unpackLong(),
              in.unpackString(),
              in.unpackString(),
              in.unpackInt(),
              in.unpackInt()));
    }
    int customers = in.unpackMapHeader();
    Map<String, Long> used = new HashMap<>();
    for (int i = 0; i < customers; i++) {
      used.put(in.unpackString(), in.unpackLong());
    }
    return new SchedulingMessage.HeldSlotsReport(List.copyOf(places), Map.copyOf(used));
  }

  private static SchedulingMessage.EndpointUpdate readNews(MessageUnpacker in) throws IOException {
    long coveredFrom = in.unpackLong();
    long next = in.unpackLong();
    int count = in.unpackArrayHeader();
    List<SchedulingMessage.EntryChange> changes = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      long offset = in.unpackLong();
      String key = in.unpackString();
      changes.add(
          new SchedulingMessage.EntryChange(offset, key, in.readPayload(in.unpackBinaryHeader())));
    }
    return new SchedulingMessage.EndpointUpdate(coveredFrom, next, List.copyOf(changes));
  }
}
