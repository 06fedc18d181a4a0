package io.samphiredyke.cli.files;

import java.util.List;

/** A value of a YAML file with its place. */
sealed interface YamlNode {

  /** Returns where the value begins. */
  Place place();

  /** Returns what the value is, for messages. */
  String label();

  /**
   * A single value.
   *
   * @param place where it begins
   * @param type how it was written
   * @param text its text
   */
  record Scalar(Place place, ScalarType type, String text) implements YamlNode {
    @Override
    public String label() {
      return type == ScalarType.NULL ? "nothing" : "'" + text + "'";
    }
  }

  /**
   * A list.
   *
   * @param place where it begins
   * @param values its values
   */
  record Sequence(Place place, List<YamlNode> values) implements YamlNode {
    @Override
    public String label() {
      return "a list";
    }
  }

  /**
   * A mapping.
   *
   * @param place where it begins
   * @param entries its entries, also those with the same key
   */
  record Mapping(Place place, List<Entry> entries) implements YamlNode {
    @Override
    public String label() {
      return "a mapping";
    }
  }

  /**
   * An entry of a mapping.
   *
   * @param place where the key begins
   * @param key the key
   * @param value the value
   */
  record Entry(Place place, String key, YamlNode value) {}

  /** How a single value was written. */
  enum ScalarType {
    /** Text. */
    TEXT,
    /** A whole number. */
    INTEGER,
    /** A number with a fraction. */
    FRACTION,
    /** True or false. */
    BOOLEAN,
    /** Nothing. */
    NULL
  }
}
