package io.samphiredyke.net.configuration;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.samphiredyke.core.config.Customer;
import io.samphiredyke.core.config.DataCentre;
import io.samphiredyke.core.config.Defaults;
import io.samphiredyke.core.config.Endpoint;
import io.samphiredyke.core.config.Item;
import io.samphiredyke.core.config.ItemKind;
import io.samphiredyke.core.config.Placement;
import io.samphiredyke.core.config.Service;
import io.samphiredyke.core.config.Tier;
import java.lang.reflect.RecordComponent;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Collectors;

/**
 * Converts configuration items to and from JSON objects that have one member for each record
 * component.
 *
 * <p>A missing member takes the default value of the item's builder, so that records written before
 * a field was added remain readable. Unknown members are ignored.
 */
public final class ItemCodec {

  static final JsonMapper MAPPER =
      JsonMapper.builder()
          .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
          .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
          .enable(DeserializationFeature.FAIL_ON_NUMBERS_FOR_ENUMS)
          .disable(DeserializationFeature.ACCEPT_FLOAT_AS_INT)
          .disable(MapperFeature.ALLOW_COERCION_OF_SCALARS)
          .build();

  private ItemCodec() {}

  /**
   * Returns the field names of a kind of item.
   *
   * @param kind the kind
   */
  public static List<String> fields(ItemKind kind) {
    return Arrays.stream(kind.itemClass().getRecordComponents())
        .map(RecordComponent::getName)
        .toList();
  }

  /**
   * Converts an item to a JSON object.
   *
   * @param item the item
   */
  public static ObjectNode toJson(Item item) {
    return MAPPER.valueToTree(item);
  }

  /**
   * Converts a JSON object to an item.
   *
   * @param kind the kind of the item
   * @param json the object
   * @throws ConfigurationFormatException if a member has the wrong type; its path is relative to
   *     the object
   */
  public static Item fromJson(ItemKind kind, JsonNode json) throws ConfigurationFormatException {
    if (!json.isObject()) {
      throw new ConfigurationFormatException("", "must be an object with the fields of an item");
    }
    ObjectNode merged = toJson(defaultOf(kind));
    json.fields()
        .forEachRemaining(
            member -> {
              if (!member.getValue().isNull()) {
                merged.set(member.getKey(), member.getValue());
              }
            });
    try {
      return MAPPER.treeToValue(merged, kind.itemClass());
    } catch (JsonMappingException e) {
      throw new ConfigurationFormatException(pathOf(e), messageOf(e));
    } catch (JsonProcessingException e) {
      throw new ConfigurationFormatException("", e.getOriginalMessage());
    }
  }

  static String pathOf(JsonMappingException failure) {
    return failure.getPath().stream()
        .map(part -> "/" + (part.getFieldName() == null ? part.getIndex() : part.getFieldName()))
        .collect(Collectors.joining());
  }

  static String messageOf(JsonMappingException failure) {
    String message = failure.getOriginalMessage();
    return message.replaceAll("`(?:[a-zA-Z]+\\.)+([A-Za-z<>.]+)`", "$1");
  }

  private static Item defaultOf(ItemKind kind) {
    return switch (kind) {
      case TIER -> Tier.builder().build();
      case DATA_CENTRE -> DataCentre.builder().build();
      case CUSTOMER -> Customer.builder().build();
      case SERVICE -> Service.builder().build();
      case ENDPOINT -> Endpoint.builder().build();
      case PLACEMENT -> Placement.builder().build();
      case DEFAULTS -> Defaults.builder().build();
    };
  }
}
