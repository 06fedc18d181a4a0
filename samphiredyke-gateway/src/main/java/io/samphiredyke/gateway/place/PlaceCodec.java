package io.samphiredyke.gateway.place;

import io.samphiredyke.core.pool.Outcome;
import io.samphiredyke.core.pool.PromptPart;
import io.samphiredyke.core.pool.Refusal;
import io.samphiredyke.core.pool.Work;
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

/** Encodes {@link PlaceMessage}s as a MessagePack number of the type followed by its fields. */
final class PlaceCodec {

  private static final int ACQUIRE = 1;
  private static final int QUEUED = 2;
  private static final int GRANTED = 3;
  private static final int REFUSED = 4;
  private static final int WITHDRAWN = 5;
  private static final int STARTED = 6;
  private static final int RELEASED = 7;
  private static final int HELD_SLOTS_REPORT = 8;
  private static final int ENDPOINT_UPDATE = 9;

  private PlaceCodec() {}

  static byte[] encode(PlaceMessage message) {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      write(packer, message);
      return packer.toByteArray();
    } catch (IOException e) {
      throw new java.io.UncheckedIOException(e);
    }
  }

  private static void write(MessagePacker packer, PlaceMessage message) throws IOException {
    if (message instanceof PlaceMessage.Ask ask) {
      writeAcquire(packer.packInt(ACQUIRE), ask);
    } else if (message instanceof PlaceMessage.Queued queued) {
      packer.packInt(QUEUED).packLong(queued.slotRequestId());
    } else if (message instanceof PlaceMessage.Granted granted) {
      packer.packInt(GRANTED).packLong(granted.slotRequestId()).packString(granted.endpointId());
    } else if (message instanceof PlaceMessage.Refused refused) {
      packer.packInt(REFUSED).packLong(refused.slotRequestId()).packInt(refused.reason().ordinal());
      packer.packLong(refused.retryAfterMillis());
    } else if (message instanceof PlaceMessage.Withdrawn withdrawn) {
      packer.packInt(WITHDRAWN).packString(withdrawn.service()).packLong(withdrawn.slotRequestId());
    } else if (message instanceof PlaceMessage.Started started) {
      packer.packInt(STARTED).packString(started.service()).packString(started.endpointId());
      packer.packLong(started.slotRequestId()).packDouble(started.millis());
    } else if (message instanceof PlaceMessage.Released released) {
      packer.packInt(RELEASED).packString(released.service()).packString(released.endpointId());
      packer.packLong(released.slotRequestId()).packInt(released.outcome().ordinal());
      packer.packDouble(released.millis());
    } else if (message instanceof PlaceMessage.Holding holding) {
      writeHeldSlotsReport(packer.packInt(HELD_SLOTS_REPORT), holding);
    } else if (message instanceof PlaceMessage.EndpointNews news) {
      writeEndpointUpdate(packer.packInt(ENDPOINT_UPDATE), news);
    }
  }

  private static void writeAcquire(MessagePacker packer, PlaceMessage.Ask ask) throws IOException {
    packer.packLong(ask.slotRequestId()).packString(ask.service()).packInt(ask.priority());
    packer.packDouble(ask.value());
    packer.packInt(ask.estimate().promptTokens()).packInt(ask.estimate().outputTokens());
    packer.packArrayHeader(ask.estimate().parts().size());
    for (PromptPart part : ask.estimate().parts()) {
      packer.packLong(part.id()).packInt(part.tokens());
    }
    packer.packString(ask.customer()).packLong(ask.quotaUnits()).packBoolean(ask.isRetry());
    packer.packArrayHeader(ask.excluded().size());
    for (String endpoint : ask.excluded()) {
      packer.packString(endpoint);
    }
    packer.packLong(ask.objectiveMillis()).packLong(ask.startDeadlineMillis());
  }

  private static void writeHeldSlotsReport(MessagePacker packer, PlaceMessage.Holding holding)
      throws IOException {
    packer.packArrayHeader(holding.slots().size());
    for (PlaceMessage.Held held : holding.slots()) {
      packer
          .packLong(held.slotRequestId())
          .packString(held.service())
          .packString(held.endpointId());
      packer.packInt(held.promptTokens()).packInt(held.outputTokens());
    }
    packer.packMapHeader(holding.remoteUsage().size());
    for (Map.Entry<String, Long> used : holding.remoteUsage().entrySet()) {
      packer.packString(used.getKey()).packLong(used.getValue());
    }
  }

  private static void writeEndpointUpdate(MessagePacker packer, PlaceMessage.EndpointNews news)
      throws IOException {
    packer.packLong(news.completeFrom()).packLong(news.nextOffset());
    packer.packArrayHeader(news.changes().size());
    for (PlaceMessage.EntryChange change : news.changes()) {
      packer.packLong(change.offset()).packString(change.key());
      packer.packBinaryHeader(change.value().length).writePayload(change.value());
    }
  }

  /**
   * Decodes a message.
   *
   * @throws IOException if the bytes are no message that this version knows
   */
  static PlaceMessage decode(byte[] bytes) throws IOException {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
      return read(unpacker);
    } catch (MessagePackException | IndexOutOfBoundsException e) {
      throw new IOException("malformed message", e);
    }
  }

  private static PlaceMessage read(MessageUnpacker in) throws IOException {
    int type = in.unpackInt();
    return switch (type) {
      case ACQUIRE -> readAcquire(in);
      case QUEUED -> new PlaceMessage.Queued(in.unpackLong());
      case GRANTED -> new PlaceMessage.Granted(in.unpackLong(), in.unpackString());
      case REFUSED ->
          new PlaceMessage.Refused(
              in.unpackLong(), Refusal.Reason.values()[in.unpackInt()], in.unpackLong());
      case WITHDRAWN -> new PlaceMessage.Withdrawn(in.unpackString(), in.unpackLong());
      case STARTED ->
          new PlaceMessage.Started(
              in.unpackString(), in.unpackString(), in.unpackLong(), in.unpackDouble());
      case RELEASED ->
          new PlaceMessage.Released(
              in.unpackString(),
              in.unpackString(),
              in.unpackLong(),
              Outcome.values()[in.unpackInt()],
              in.unpackDouble());
      case HELD_SLOTS_REPORT -> readHeldSlotsReport(in);
      case ENDPOINT_UPDATE -> readEndpointUpdate(in);
      default -> throw new IOException("unknown message type " + type);
    };
  }

  private static PlaceMessage.Ask readAcquire(MessageUnpacker in) throws IOException {
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
    return new PlaceMessage.Ask(
        claimId,
        service,
        rank,
        value,
        new Work(prompt, output, List.copyOf(parts)),
        customer,
        quotaUnits,
        isRepeat,
        Set.copyOf(excluded),
        in.unpackLong(),
        in.unpackLong());
  }

  private static PlaceMessage.Holding readHeldSlotsReport(MessageUnpacker in) throws IOException {
    int count = in.unpackArrayHeader();
    List<PlaceMessage.Held> places = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      places.add(
          new PlaceMessage.Held(
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
    return new PlaceMessage.Holding(List.copyOf(places), Map.copyOf(used));
  }

  private static PlaceMessage.EndpointNews readEndpointUpdate(MessageUnpacker in)
      throws IOException {
    long coveredFrom = in.unpackLong();
    long next = in.unpackLong();
    int count = in.unpackArrayHeader();
    List<PlaceMessage.EntryChange> changes = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      long offset = in.unpackLong();
      String key = in.unpackString();
      changes.add(
          new PlaceMessage.EntryChange(offset, key, in.readPayload(in.unpackBinaryHeader())));
    }
    return new PlaceMessage.EndpointNews(coveredFrom, next, List.copyOf(changes));
  }
}
