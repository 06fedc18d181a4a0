package io.samphiredyke.net.configuration;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.samphiredyke.core.config.Change;
import io.samphiredyke.core.config.ConfigurationRecord;
import io.samphiredyke.core.config.Item;
import io.samphiredyke.core.config.ItemKind;
import io.samphiredyke.core.config.LogEntry;
import io.samphiredyke.core.config.LogPage;
import io.samphiredyke.core.config.Operation;
import io.samphiredyke.core.config.PeerResponse;
import io.samphiredyke.core.config.RecordOutcome;
import io.samphiredyke.core.config.Snapshot;
import io.samphiredyke.core.config.SnapshotChunk;
import io.samphiredyke.core.config.VersionedItem;
import java.io.IOException;
import java.util.List;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;

/**
 * Converts configuration records, log pages and peer responses to and from JSON.
 *
 * <pre>{@code
 * {"recordId":"…","author":"…","timeMillis":0,
 *  "changes":[{"kind":"TIER","name":"urgent","operation":"PUT","baseVersion":0,
 *              "value":{"name":"urgent","rank":0}}]}
 * }</pre>
 *
 * @see ItemCodec
 */
public final class ConfigurationCodec {

  private ConfigurationCodec() {}

  /**
   * Converts a record to a JSON object.
   *
   * @param record the record
   */
  public static ObjectNode toJson(ConfigurationRecord record) {
    ObjectNode json = ItemCodec.MAPPER.createObjectNode();
    json.put("recordId", record.recordId());
    json.put("author", record.author());
    json.put("timeMillis", record.timeMillis());
    SnapshotChunk chunk = record.snapshot();
    if (chunk != null) {
      json.set("snapshot", chunkToJson(chunk));
    } else {
      json.set("changes", array(record.changes(), ConfigurationCodec::changeToJson));
    }
    return json;
  }

  /**
   * Converts a JSON object to a record.
   *
   * @param json the object
   * @throws ConfigurationFormatException if it is malformed
   */
  public static ConfigurationRecord fromJson(JsonNode json) throws ConfigurationFormatException {
    JsonObjectReader reader = new JsonObjectReader(json, "");
    String recordId = reader.text("recordId");
    String author = reader.text("author");
    long timeMillis = reader.number("timeMillis");
    if (json.hasNonNull("snapshot")) {
      SnapshotChunk chunk = chunkFromJson(reader.object("snapshot"));
      return ConfigurationRecord.ofSnapshot(recordId, author, timeMillis, chunk);
    }
    List<Change> changes = reader.list("changes", ConfigurationCodec::changeFromJson);
    return ConfigurationRecord.ofChanges(recordId, author, timeMillis, changes);
  }

  /**
   * Decodes a record from JSON text.
   *
   * @param bytes the JSON text in UTF-8
   * @throws ConfigurationFormatException if it is malformed
   */
  public static ConfigurationRecord decode(byte[] bytes) throws ConfigurationFormatException {
    return fromJson(parse(bytes));
  }

  /**
   * Encodes a record as JSON text in UTF-8, which is the body of an append request.
   *
   * @param record the record
   */
  public static byte[] encode(ConfigurationRecord record) {
    return encode(toJson(record));
  }

  /**
   * Decodes a page of the log from the body of a read response. An entry whose record cannot be
   * decoded has a null record.
   *
   * @param bytes the body of the response
   * @throws ConfigurationFormatException if the page itself is malformed
   */
  public static LogPage decodePage(byte[] bytes) throws ConfigurationFormatException {
    JsonObjectReader reader = new JsonObjectReader(parse(bytes), "");
    return new LogPage(
        reader.number("first"),
        reader.number("next"),
        reader.list("records", ConfigurationCodec::entryFromJson));
  }

  /**
   * Decodes the oldest retained offset from the log's response to a read of expired records.
   *
   * @param bytes the body of the response
   * @throws ConfigurationFormatException if it is malformed
   */
  public static long decodeOldestOffset(byte[] bytes) throws ConfigurationFormatException {
    return new JsonObjectReader(parse(bytes), "").number("first");
  }

  /**
   * Decodes the offset of the new record from the log's response to an append.
   *
   * @param bytes the body of the response
   * @throws ConfigurationFormatException if it is malformed
   */
  public static long decodeAppendedOffset(byte[] bytes) throws ConfigurationFormatException {
    return new JsonObjectReader(parse(bytes), "").number("offset");
  }

  /**
   * Encodes a response to a peer as JSON text in UTF-8.
   *
   * @param response the response
   */
  public static byte[] encode(PeerResponse response) {
    ObjectNode json = ItemCodec.MAPPER.createObjectNode();
    json.put("nextOffset", response.nextOffset());
    json.put("snapshotTimeMillis", response.snapshotTimeMillis());
    json.set("entries", array(response.entries(), ConfigurationCodec::entryToJson));
    Snapshot snapshot = response.snapshot();
    if (snapshot != null) {
      json.set("snapshot", snapshotToJson(snapshot));
    }
    return encode(json);
  }

  /**
   * Decodes the response of a peer.
   *
   * @param bytes the JSON text in UTF-8
   * @throws ConfigurationFormatException if it is malformed
   */
  public static PeerResponse decodePeerResponse(byte[] bytes) throws ConfigurationFormatException {
    JsonNode json = parse(bytes);
    JsonObjectReader reader = new JsonObjectReader(json, "");
    Snapshot snapshot = null;
    if (json.hasNonNull("snapshot")) {
      snapshot = snapshotFromJson(reader.object("snapshot"));
    }
    return new PeerResponse(
        reader.number("nextOffset"),
        reader.list("entries", ConfigurationCodec::entryFromJson),
        snapshot,
        reader.number("snapshotTimeMillis"));
  }

  private static ObjectNode changeToJson(Change change) {
    ObjectNode json = ItemCodec.MAPPER.createObjectNode();
    json.put("kind", change.kind().name());
    json.put("name", change.name());
    json.put("operation", change.operation().name());
    json.put("baseVersion", change.baseVersion());
    Item value = change.value();
    if (value != null) {
      json.set("value", ItemCodec.toJson(value));
    }
    return json;
  }

  private static Change changeFromJson(JsonObjectReader reader)
      throws ConfigurationFormatException {
    ItemKind kind = reader.enumConstant("kind", ItemKind.class);
    Operation operation = reader.enumConstant("operation", Operation.class);
    Item value = operation == Operation.PUT ? reader.item("value", kind) : null;
    return new Change(kind, reader.text("name"), operation, reader.number("baseVersion"), value);
  }

  private static ObjectNode chunkToJson(SnapshotChunk chunk) {
    ObjectNode json = ItemCodec.MAPPER.createObjectNode();
    json.put("snapshotId", chunk.snapshotId());
    json.put("nextOffset", chunk.nextOffset());
    json.put("index", chunk.index());
    json.put("count", chunk.count());
    json.put("digest", chunk.digest());
    json.set("items", array(chunk.items(), ConfigurationCodec::versionedToJson));
    json.set("outcomes", array(chunk.outcomes(), ConfigurationCodec::outcomeToJson));
    return json;
  }

  private static SnapshotChunk chunkFromJson(JsonObjectReader reader)
      throws ConfigurationFormatException {
    return new SnapshotChunk(
        reader.text("snapshotId"),
        reader.number("nextOffset"),
        (int) reader.number("index"),
        (int) reader.number("count"),
        reader.text("digest"),
        reader.list("items", ConfigurationCodec::versionedFromJson),
        reader.list("outcomes", ConfigurationCodec::outcomeFromJson));
  }

  private static ObjectNode snapshotToJson(Snapshot snapshot) {
    ObjectNode json = ItemCodec.MAPPER.createObjectNode();
    json.put("nextOffset", snapshot.nextOffset());
    json.set("items", array(snapshot.items(), ConfigurationCodec::versionedToJson));
    json.set("outcomes", array(snapshot.outcomes(), ConfigurationCodec::outcomeToJson));
    return json;
  }

  private static Snapshot snapshotFromJson(JsonObjectReader reader)
      throws ConfigurationFormatException {
    return new Snapshot(
        reader.number("nextOffset"),
        reader.list("items", ConfigurationCodec::versionedFromJson),
        reader.list("outcomes", ConfigurationCodec::outcomeFromJson));
  }

  private static ObjectNode versionedToJson(VersionedItem versioned) {
    ObjectNode json = ItemCodec.MAPPER.createObjectNode();
    json.put("kind", versioned.item().itemKind().name());
    json.put("version", versioned.version());
    json.put("author", versioned.author());
    json.put("timeMillis", versioned.timeMillis());
    json.set("value", ItemCodec.toJson(versioned.item()));
    return json;
  }

  private static VersionedItem versionedFromJson(JsonObjectReader reader)
      throws ConfigurationFormatException {
    ItemKind kind = reader.enumConstant("kind", ItemKind.class);
    return new VersionedItem(
        reader.item("value", kind),
        reader.number("version"),
        reader.text("author"),
        reader.number("timeMillis"));
  }

  private static ObjectNode outcomeToJson(RecordOutcome outcome) {
    ObjectNode json = ItemCodec.MAPPER.createObjectNode();
    json.put("recordId", outcome.recordId());
    json.put("offset", outcome.offset());
    json.put("applied", outcome.applied());
    return json;
  }

  private static RecordOutcome outcomeFromJson(JsonObjectReader reader)
      throws ConfigurationFormatException {
    return new RecordOutcome(
        reader.text("recordId"), reader.number("offset"), reader.flag("applied"));
  }

  private static ObjectNode entryToJson(LogEntry entry) {
    ObjectNode json = ItemCodec.MAPPER.createObjectNode();
    json.put("offset", entry.offset());
    json.put("time", entry.timeMillis());
    ConfigurationRecord record = entry.record();
    if (record != null) {
      json.set("value", toJson(record));
    }
    return json;
  }

  private static LogEntry entryFromJson(JsonObjectReader reader)
      throws ConfigurationFormatException {
    return new LogEntry(
        reader.number("offset"), reader.number("time"), recordOrNull(reader.member("value")));
  }

  private static @Nullable ConfigurationRecord recordOrNull(JsonNode json) {
    try {
      return fromJson(json);
    } catch (ConfigurationFormatException e) {
      return null;
    }
  }

  private static <T> ArrayNode array(List<T> values, Function<T, ObjectNode> toJson) {
    ArrayNode array = ItemCodec.MAPPER.createArrayNode();
    values.forEach(value -> array.add(toJson.apply(value)));
    return array;
  }

  private static JsonNode parse(byte[] bytes) throws ConfigurationFormatException {
    try {
      return ItemCodec.MAPPER.readTree(bytes);
    } catch (JsonProcessingException e) {
      var location = e.getLocation();
      String position =
          location == null
              ? ""
              : " at line " + location.getLineNr() + ", column " + location.getColumnNr();
      throw new ConfigurationFormatException("", "is not JSON" + position);
    } catch (IOException e) {
      throw new ConfigurationFormatException("", "can't be read: " + e.getMessage());
    }
  }

  private static byte[] encode(ObjectNode json) {
    try {
      return ItemCodec.MAPPER.writeValueAsBytes(json);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("a JSON tree must be serializable", e);
    }
  }
}
