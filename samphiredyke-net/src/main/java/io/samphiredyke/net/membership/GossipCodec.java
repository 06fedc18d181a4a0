package io.samphiredyke.net.membership;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.databind.DeserializationContext;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.SerializerProvider;
import com.fasterxml.jackson.databind.deser.std.StdDeserializer;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.module.SimpleModule;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.ser.std.StdSerializer;
import io.samphiredyke.core.membership.GossipHeader;
import io.samphiredyke.core.membership.GossipMessage;
import io.samphiredyke.core.membership.GossipUpdates;
import io.samphiredyke.core.membership.IncarnationId;
import io.samphiredyke.core.membership.Member;
import io.samphiredyke.core.membership.StateUpdate;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;
import org.msgpack.core.MessagePackException;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/**
 * Encodes {@link GossipMessage}s as MessagePack arrays.
 *
 * <p>The first element is the number of the type, the others are the record's components in their
 * order. Elements after the known ones are ignored, so that a later version may append some.
 */
public final class GossipCodec {

  /** Thrown if bytes are no message that this version knows. */
  public static final class MalformedMessageException extends IOException {

    private static final long serialVersionUID = 1L;

    MalformedMessageException(String text) {
      super(text);
    }

    MalformedMessageException(MessagePackException cause) {
      super("malformed MessagePack", cause);
    }
  }

  /** Writes records as arrays. */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  private abstract static class AsArray {}

  private static final List<Class<? extends GossipMessage>> TYPES =
      List.of(
          GossipMessage.Ping.class,
          GossipMessage.Ack.class,
          GossipMessage.Nack.class,
          GossipMessage.PingRequest.class,
          GossipMessage.SyncRequest.class,
          GossipMessage.SyncReply.class);

  private static final ObjectMapper MAPPER = mapper();

  private GossipCodec() {}

  /** Encodes a message. */
  public static byte[] encode(GossipMessage message) {
    try {
      ArrayNode fields = MAPPER.createArrayNode();
      fields.add(TYPES.indexOf(message.getClass()));
      fields.addAll((ArrayNode) MAPPER.valueToTree(message));
      return MAPPER.writeValueAsBytes(fields);
    } catch (IOException e) {
      throw new IllegalStateException("cannot encode " + message, e);
    }
  }

  /**
   * Decodes a message.
   *
   * @throws IOException if the bytes are no message that this version knows
   */
  public static GossipMessage decode(byte[] bytes) throws IOException {
    JsonNode tree = readTree(bytes);
    if (!(tree instanceof ArrayNode fields) || fields.isEmpty()) {
      throw new MalformedMessageException("a gossip message must be an array");
    }
    int type = fields.remove(0).asInt(-1);
    if (type < 0 || type >= TYPES.size()) {
      throw new MalformedMessageException("unknown type of gossip message " + type);
    }
    return MAPPER.treeToValue(fields, TYPES.get(type));
  }

  private static JsonNode readTree(byte[] bytes) throws IOException {
    try {
      return MAPPER.readTree(bytes);
    } catch (MessagePackException e) {
      throw new MalformedMessageException(e);
    }
  }

  private static ObjectMapper mapper() {
    SimpleModule module = new SimpleModule();
    module.addSerializer(IncarnationId.class, new IncarnationIdSerializer());
    module.addDeserializer(IncarnationId.class, new IncarnationIdDeserializer());
    JsonMapper.Builder builder = JsonMapper.builder(new MessagePackFactory());
    builder.addModule(module);
    builder.enable(SerializationFeature.WRITE_ENUMS_USING_INDEX);
    builder.disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);
    builder.enable(DeserializationFeature.FAIL_ON_NULL_CREATOR_PROPERTIES);
    TYPES.forEach(type -> builder.addMixIn(type, AsArray.class));
    builder.addMixIn(GossipHeader.class, AsArray.class);
    builder.addMixIn(Member.class, AsArray.class);
    builder.addMixIn(StateUpdate.class, AsArray.class);
    builder.addMixIn(GossipUpdates.class, AsArray.class);
    return builder.build();
  }

  private static final class IncarnationIdSerializer extends StdSerializer<IncarnationId> {

    private static final long serialVersionUID = 1L;

    IncarnationIdSerializer() {
      super(IncarnationId.class);
    }

    @Override
    public void serialize(IncarnationId id, JsonGenerator generator, SerializerProvider provider)
        throws IOException {
      ByteBuffer bytes = ByteBuffer.allocate(2 * Long.BYTES);
      bytes.putLong(id.high()).putLong(id.low());
      generator.writeBinary(bytes.array());
    }
  }

  private static final class IncarnationIdDeserializer extends StdDeserializer<IncarnationId> {

    private static final long serialVersionUID = 1L;

    IncarnationIdDeserializer() {
      super(IncarnationId.class);
    }

    @Override
    public IncarnationId deserialize(JsonParser parser, DeserializationContext context)
        throws IOException {
      byte[] bytes = parser.getBinaryValue();
      if (bytes.length != 2 * Long.BYTES) {
        throw new MalformedMessageException("an incarnation id must have 16 bytes");
      }
      ByteBuffer buffer = ByteBuffer.wrap(bytes);
      return new IncarnationId(buffer.getLong(), buffer.getLong());
    }
  }
}
