package io.samphiredyke.gateway.scheduling;

import io.samphiredyke.core.pool.Outcome;
import io.samphiredyke.core.pool.PromptPart;
import io.samphiredyke.core.pool.SlotRefusal;
import io.samphiredyke.core.pool.WorkEstimate;
import io.samphiredyke.core.rollout.RolloutOrder;
import io.samphiredyke.core.rollout.RolloutStage;
import io.samphiredyke.core.rollout.RolloutState;
import io.samphiredyke.core.serving.StreamOrigin;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.value.ValueType;

/**
 * Encodes each {@link SchedulingMessage} in MessagePack as its type number followed by its fields.
 */
final class SchedulingMessageCodec {

  private static final int ACQUIRE = 1;
  private static final int QUEUED = 2;
  private static final int GRANTED = 3;
  private static final int REFUSED = 4;
  private static final int WITHDRAWN = 5;
  private static final int STARTED = 6;
  private static final int RELEASED = 7;
  private static final int HELD_SLOTS_REPORT = 8;
  private static final int ENDPOINT_UPDATE = 9;
  private static final int ENDPOINT_LIMIT = 10;
  private static final int ENDPOINT_LEAVING = 11;
  private static final int CONFIGURATION_POSITION = 12;
  private static final int PART_QUARANTINED = 13;
  private static final int STREAM_BEGAN = 19;
  private static final int STREAM_ORIGIN_QUERY = 20;
  private static final int STREAM_ORIGIN_RESPONSE = 21;
  private static final int ROLLOUT_STAGED = 22;
  private static final int ENDPOINT_BRITTLE = 23;
  private static final int ENDPOINT_FULL = 24;

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
    if (message instanceof SchedulingMessage.Acquire acquire) {
      writeAcquire(packer.packInt(ACQUIRE), acquire);
    } else if (message instanceof SchedulingMessage.Queued queued) {
      packer.packInt(QUEUED).packLong(queued.slotRequestId());
    } else if (message instanceof SchedulingMessage.Granted granted) {
      packer.packInt(GRANTED).packLong(granted.slotRequestId()).packString(granted.endpointId());
    } else if (message instanceof SchedulingMessage.Refused refused) {
      packer.packInt(REFUSED).packLong(refused.slotRequestId()).packInt(refused.reason().ordinal());
      packer.packLong(refused.retryAfterMillis());
    } else if (message instanceof SchedulingMessage.Withdrawn withdrawn) {
      packer.packInt(WITHDRAWN).packString(withdrawn.service()).packLong(withdrawn.slotRequestId());
    } else if (message instanceof SchedulingMessage.Started started) {
      packer.packInt(STARTED).packString(started.service()).packString(started.endpointId());
      packer.packLong(started.slotRequestId()).packDouble(started.millis());
    } else if (message instanceof SchedulingMessage.Released released) {
      packer.packInt(RELEASED).packString(released.service()).packString(released.endpointId());
      packer.packLong(released.slotRequestId()).packInt(released.outcome().ordinal());
      packer.packDouble(released.millis());
    } else if (message instanceof SchedulingMessage.HeldSlotsReport report) {
      writeHeldSlotsReport(packer.packInt(HELD_SLOTS_REPORT), report);
    } else if (message instanceof SchedulingMessage.EndpointUpdate update) {
      writeEndpointUpdate(packer.packInt(ENDPOINT_UPDATE), update);
    } else if (message instanceof SchedulingMessage.EndpointLimit limit) {
      packer.packInt(ENDPOINT_LIMIT).packString(limit.endpointId());
      packer.packDouble(limit.requestsPerSecond());
    } else if (message instanceof SchedulingMessage.EndpointBrittle brittle) {
      packer.packInt(ENDPOINT_BRITTLE).packString(brittle.endpointId());
      packer.packDouble(brittle.refusalsPerSecond());
    } else if (message instanceof SchedulingMessage.EndpointFull full) {
      packer.packInt(ENDPOINT_FULL).packString(full.endpointId()).packLong(full.slotRequestId());
    } else if (message instanceof SchedulingMessage.EndpointLeaving leaving) {
      packer.packInt(ENDPOINT_LEAVING).packString(leaving.endpointId());
      packer.packLong(leaving.startedAtMillis());
    } else if (message instanceof SchedulingMessage.ConfigurationPosition position) {
      packer.packInt(CONFIGURATION_POSITION).packLong(position.era());
      packer.packLong(position.nextOffset());
    } else if (message instanceof SchedulingMessage.PartQuarantined part) {
      packer.packInt(PART_QUARANTINED).packLong(part.partId());
      packer.packInt(part.strikes()).packLong(part.remainingMillis());
    } else if (!CrashMessageCodec.write(packer, message)) {
      writeStreamMessage(packer, message);
    }
  }

  private static void writeStreamMessage(MessagePacker packer, SchedulingMessage message)
      throws IOException {
    if (message instanceof SchedulingMessage.StreamBegan stream) {
      packer.packInt(STREAM_BEGAN).packString(stream.requestId());
      writeOrigin(packer, stream.origin());
    } else if (message instanceof SchedulingMessage.StreamOriginQuery query) {
      packer.packInt(STREAM_ORIGIN_QUERY).packString(query.requestId());
    } else if (message instanceof SchedulingMessage.StreamOriginResponse response) {
      packer.packInt(STREAM_ORIGIN_RESPONSE).packString(response.requestId());
      writeOrigin(packer, response.origin());
    } else if (message instanceof SchedulingMessage.RolloutStaged staged) {
      writeRollout(packer.packInt(ROLLOUT_STAGED), staged.state());
    }
  }

  private static void writeRollout(MessagePacker packer, RolloutState state) throws IOException {
    RolloutOrder order = state.order();
    packer.packString(order.service()).packString(order.version());
    packer.packLong(order.durationMillis()).packLong(order.offset());
    packer.packString(state.stage().name()).packLong(state.elapsedMillis());
    packer.packString(state.reason());
  }

  private static RolloutState readRollout(MessageUnpacker in) throws IOException {
    try {
      RolloutOrder order =
          new RolloutOrder(in.unpackString(), in.unpackString(), in.unpackLong(), in.unpackLong());
      RolloutStage stage = RolloutStage.valueOf(in.unpackString());
      return new RolloutState(order, stage, in.unpackLong(), in.unpackString());
    } catch (IllegalArgumentException e) {
      throw new IOException("malformed roll-out", e);
    }
  }

  private static void writeOrigin(MessagePacker packer, @Nullable StreamOrigin origin)
      throws IOException {
    if (origin == null) {
      packer.packNil();
    } else {
      packer.packString(origin.service()).packString(origin.version());
    }
  }

  private static StreamOrigin readOrigin(MessageUnpacker in) throws IOException {
    return new StreamOrigin(in.unpackString(), in.unpackString());
  }

  private static void writeAcquire(MessagePacker packer, SchedulingMessage.Acquire acquire)
      throws IOException {
    packer.packLong(acquire.slotRequestId()).packString(acquire.service());
    packer.packString(acquire.route()).packInt(acquire.rank());
    packer.packDouble(acquire.value());
    packer.packInt(acquire.estimate().promptTokens()).packInt(acquire.estimate().outputTokens());
    packer.packArrayHeader(acquire.estimate().parts().size());
    for (PromptPart part : acquire.estimate().parts()) {
      packer.packLong(part.id()).packInt(part.tokens());
    }
    packer
        .packString(acquire.customer())
        .packLong(acquire.quotaUnits())
        .packBoolean(acquire.isRetry());
    packer.packArrayHeader(acquire.excluded().size());
    for (String endpoint : acquire.excluded()) {
      packer.packString(endpoint);
    }
    CrashMessageCodec.writeFingerprint(packer, acquire.isolated());
    packer.packLong(acquire.objectiveMillis()).packLong(acquire.startDeadlineMillis());
  }

  private static void writeHeldSlotsReport(
      MessagePacker packer, SchedulingMessage.HeldSlotsReport report) throws IOException {
    packer.packArrayHeader(report.slots().size());
    for (SchedulingMessage.HeldSlot held : report.slots()) {
      packer
          .packLong(held.slotRequestId())
          .packString(held.service())
          .packString(held.endpointId());
      packer.packInt(held.promptTokens()).packInt(held.outputTokens());
      CrashMessageCodec.writeFingerprint(packer, held.isolated());
    }
    packer.packMapHeader(report.remoteUsage().size());
    for (Map.Entry<String, Long> used : report.remoteUsage().entrySet()) {
      packer.packString(used.getKey()).packLong(used.getValue());
    }
  }

  private static void writeEndpointUpdate(
      MessagePacker packer, SchedulingMessage.EndpointUpdate update) throws IOException {
    packer.packLong(update.era());
    packer.packLong(update.completeFrom()).packLong(update.nextOffset());
    packer.packArrayHeader(update.changes().size());
    for (SchedulingMessage.EntryChange change : update.changes()) {
      packer.packLong(change.offset()).packString(change.key());
      packer.packBinaryHeader(change.value().length).writePayload(change.value());
    }
  }

  /**
   * Decodes a message.
   *
   * @throws IOException if the bytes are not a valid message of this version
   */
  static SchedulingMessage decode(byte[] bytes) throws IOException {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
      return read(unpacker);
    } catch (MessagePackException | IndexOutOfBoundsException e) {
      throw new IOException("malformed scheduling message", e);
    }
  }

  private static SchedulingMessage read(MessageUnpacker in) throws IOException {
    int type = in.unpackInt();
    return switch (type) {
      case ACQUIRE -> readAcquire(in);
      case QUEUED -> new SchedulingMessage.Queued(in.unpackLong());
      case GRANTED -> new SchedulingMessage.Granted(in.unpackLong(), in.unpackString());
      case REFUSED ->
          new SchedulingMessage.Refused(
              in.unpackLong(),
              constant(SlotRefusal.Reason.values(), in.unpackInt(), SlotRefusal.Reason.OVERLOADED),
              in.unpackLong());
      case WITHDRAWN -> new SchedulingMessage.Withdrawn(in.unpackString(), in.unpackLong());
      case STARTED ->
          new SchedulingMessage.Started(
              in.unpackString(), in.unpackString(), in.unpackLong(), in.unpackDouble());
      case RELEASED ->
          new SchedulingMessage.Released(
              in.unpackString(),
              in.unpackString(),
              in.unpackLong(),
              constant(Outcome.values(), in.unpackInt(), Outcome.WITHDRAWN),
              in.unpackDouble());
      case HELD_SLOTS_REPORT -> readHeldSlotsReport(in);
      case ENDPOINT_UPDATE -> readEndpointUpdate(in);
      case ENDPOINT_LIMIT ->
          new SchedulingMessage.EndpointLimit(in.unpackString(), in.unpackDouble());
      case ENDPOINT_BRITTLE ->
          new SchedulingMessage.EndpointBrittle(in.unpackString(), in.unpackDouble());
      case ENDPOINT_FULL -> new SchedulingMessage.EndpointFull(in.unpackString(), in.unpackLong());
      case ENDPOINT_LEAVING ->
          new SchedulingMessage.EndpointLeaving(in.unpackString(), in.unpackLong());
      case CONFIGURATION_POSITION ->
          new SchedulingMessage.ConfigurationPosition(in.unpackLong(), in.unpackLong());
      case PART_QUARANTINED ->
          new SchedulingMessage.PartQuarantined(in.unpackLong(), in.unpackInt(), in.unpackLong());
      case STREAM_BEGAN -> new SchedulingMessage.StreamBegan(in.unpackString(), readOrigin(in));
      case STREAM_ORIGIN_QUERY -> new SchedulingMessage.StreamOriginQuery(in.unpackString());
      case STREAM_ORIGIN_RESPONSE ->
          new SchedulingMessage.StreamOriginResponse(
              in.unpackString(), in.tryUnpackNil() ? null : readOrigin(in));
      case ROLLOUT_STAGED -> new SchedulingMessage.RolloutStaged(readRollout(in));
      default -> CrashMessageCodec.read(type, in);
    };
  }

  /** Returns a constant, or a substitute for one of a later build. */
  private static <T> T constant(T[] constants, int ordinal, T substitute) {
    return ordinal >= 0 && ordinal < constants.length ? constants[ordinal] : substitute;
  }

  private static SchedulingMessage.Acquire readAcquire(MessageUnpacker in) throws IOException {
    long slotRequestId = in.unpackLong();
    String service = in.unpackString();
    // Earlier builds state no route.
    boolean hasRoute = in.getNextFormat().getValueType() == ValueType.STRING;
    String route = hasRoute ? in.unpackString() : "";
    int rank = in.unpackInt();
    double value = in.unpackDouble();
    int promptTokens = in.unpackInt();
    int outputTokens = in.unpackInt();
    int partCount = in.unpackArrayHeader();
    List<PromptPart> parts = new ArrayList<>();
    for (int i = 0; i < partCount; i++) {
      parts.add(new PromptPart(in.unpackLong(), in.unpackInt()));
    }
    String customer = in.unpackString();
    long quotaUnits = in.unpackLong();
    boolean isRetry = in.unpackBoolean();
    int excludedCount = in.unpackArrayHeader();
    Set<String> excluded = new HashSet<>();
    for (int i = 0; i < excludedCount; i++) {
      excluded.add(in.unpackString());
    }
    return new SchedulingMessage.Acquire(
        slotRequestId,
        service,
        route,
        rank,
        value,
        new WorkEstimate(promptTokens, outputTokens, List.copyOf(parts)),
        customer,
        quotaUnits,
        isRetry,
        Set.copyOf(excluded),
        CrashMessageCodec.readOptionalFingerprint(in),
        in.unpackLong(),
        in.unpackLong());
  }

  private static SchedulingMessage.HeldSlotsReport readHeldSlotsReport(MessageUnpacker in)
      throws IOException {
    int count = in.unpackArrayHeader();
    List<SchedulingMessage.HeldSlot> slots = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      slots.add(
          new SchedulingMessage.HeldSlot(
              in.unpackLong(),
              in.unpackString(),
              in.unpackString(),
              in.unpackInt(),
              in.unpackInt(),
              CrashMessageCodec.readOptionalFingerprint(in)));
    }
    int customerCount = in.unpackMapHeader();
    Map<String, Long> used = new HashMap<>();
    for (int i = 0; i < customerCount; i++) {
      used.put(in.unpackString(), in.unpackLong());
    }
    return new SchedulingMessage.HeldSlotsReport(List.copyOf(slots), Map.copyOf(used));
  }

  private static SchedulingMessage.EndpointUpdate readEndpointUpdate(MessageUnpacker in)
      throws IOException {
    long era = in.unpackLong();
    long completeFrom = in.unpackLong();
    long nextOffset = in.unpackLong();
    int count = in.unpackArrayHeader();
    List<SchedulingMessage.EntryChange> changes = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      long offset = in.unpackLong();
      String key = in.unpackString();
      changes.add(
          new SchedulingMessage.EntryChange(offset, key, in.readPayload(in.unpackBinaryHeader())));
    }
    return new SchedulingMessage.EndpointUpdate(
        era, completeFrom, nextOffset, List.copyOf(changes));
  }
}
