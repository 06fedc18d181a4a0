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
import io.samphiredyke.core.config.PeerAnswer;
import io.samphiredyke.core.config.RecordOutcome;
import io.samphiredyke.core.config.Snapshot;
import io.samphiredyke.core.config.SnapshotChunk;
import io.samphiredyke.core.config.VersionedItem;
import java.io.IOException;
import java.util.List;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;

/**
 * Converts configuration records, pages of the log and answers of peers to and from JSON.
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
   * Returns the JSON form of a record.
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
   * Returns a record from its JSON form.
   *
   * @param json the JSON form
   * @throws ConfigurationFormatException if it is malformed
   */
  public static ConfigurationRecord fromJson(JsonNode json) throws ConfigurationFormatException {
    JsonReader reader = new JsonReader(json, "");
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
   * Returns the record of an encoded JSON text.
   *
   * @param bytes the text in UTF-8
   * @throws ConfigurationFormatException if it is malformed
   */
  public static ConfigurationRecord decode(byte[] bytes) throws ConfigurationFormatException {
    return fromJson(parse(bytes));
  }

  /**
   * Returns a record as JSON text in UTF-8, the body of an append.
   *
   * @param record the record
   */
  public static byte[] encode(ConfigurationRecord record) {
    return encode(toJson(record));
  }

  /**
   * Returns a page from the log's answer; records that can't be decoded are null in their entries.
   *
   * @param bytes the body of the answer
   * @throws ConfigurationFormatException if the page itself is malformed
   */
  public static LogPage decodePage(byte[] bytes) throws ConfigurationFormatException {
    JsonReader reader = new JsonReader(parse(bytes), "");
    return new LogPage(
        reader.number("first"),
        reader.number("next"),
        reader.list("records", ConfigurationCodec::entryFromJson));
  }

  /**
   * Returns the oldest kept offset from the log's answer that the records asked for are gone.
   *
   * @param bytes the body of the answer
   * @throws ConfigurationFormatException if it is malformed
   */
  public static long decodeOldestOffset(byte[] bytes) throws ConfigurationFormatException {
    return new JsonReader(parse(bytes), "").number("first");
  }

  /**
   * Returns the offset from the log's answer to an append.
   *
   * @param bytes the body of the answer
   * @throws ConfigurationFormatException if it is malformed
   */
  public static long decodeAppendedOffset(byte[] bytes) throws ConfigurationFormatException {
    return new JsonReader(parse(bytes), "").number("offset");
  }

  /**
   * Returns an answer to a peer as JSON text in UTF-8.
   *
   * @param answer the answer
   */
  public static byte[] encode(PeerAnswer answer) {
    ObjectNode json = ItemCodec.MAPPER.createObjectNode();
    json.put("nextOffset", answer.nextOffset());
    json.put("snapshotTimeMillis", answer.snapshotTimeMillis());
    json.set("entries", array(answer.entries(), ConfigurationCodec::entryToJson));
    Snapshot snapshot = answer.snapshot();
    if (snapshot != null) {
      json.set("snapshot", snapshotToJson(snapshot));
    }
    return encode(json);
  }

  /**
   * Returns the answer of a peer.
   *
   * @param bytes the JSON text in UTF-8
   * @throws ConfigurationFormatException if it is malformed
   */
  public static PeerAnswer decodePeerAnswer(byte[] bytes) throws ConfigurationFormatException {
    JsonNode json = parse(bytes);
    JsonReader reader = new JsonReader(json, "");
    Snapshot snapshot = null;
    if (json.hasNonNull("snapshot")) {
      snapshot = snapshotFromJson(reader.object("snapshot"));
    }
    return new PeerAnswer(
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

  private static Change changeFromJson(JsonReader reader) throws ConfigurationFormatException {
    ItemKind kind = reader.constant("kind", ItemKind.class);
    Operation operation = reader.constant("operation", Operation.class);
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

  private static SnapshotChunk chunkFromJson(JsonReader reader)
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

  private static Snapshot snapshotFromJson(JsonReader reader) throws ConfigurationFormatException {
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

  private static VersionedItem versionedFromJson(JsonReader reader)
      throws ConfigurationFormatException {
    ItemKind kind = reader.constant("kind", ItemKind.class);
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

  private static RecordOutcome outcomeFromJson(JsonReader reader)
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

  private static LogEntry entryFromJson(JsonReader reader) throws ConfigurationFormatException {
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
      var place = e.getLocation();
      String at =
          place == null ? "" : " at line " + place.getLineNr() + ", column " + place.getColumnNr();
      throw new ConfigurationFormatException("", "is not JSON" + at);
    } catch (IOException e) {
      throw new ConfigurationFormatException("", "can't be read: " + e.getMessage());
    }
  }

  private static byte[] encode(ObjectNode json) {
    try {
      return ItemCodec.MAPPER.writeValueAsBytes(json);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("a JSON tree can always be written", e);
    }
  }
}
