package io.samphiredyke.cli.files;

import java.util.List;

/** A node of a YAML document with its source location. */
sealed interface YamlNode {

  /** Returns the start of the node. */
  SourceLocation location();

  /** Returns a description of the node for error messages. */
  String describe();

  /**
   * A scalar value.
   *
   * @param location the start of the value
   * @param type the type of the value
   * @param text the source text of the value
   */
  record Scalar(SourceLocation location, ScalarType type, String text) implements YamlNode {
    @Override
    public String describe() {
      return type == ScalarType.NULL ? "nothing" : "'" + text + "'";
    }
  }

  /**
   * A list.
   *
   * @param location the start of the list
   * @param values the elements
   */
  record Sequence(SourceLocation location, List<YamlNode> values) implements YamlNode {
    @Override
    public String describe() {
      return "a list";
    }
  }

  /**
   * A mapping.
   *
   * @param location the start of the mapping
   * @param entries the entries in source order, including those with duplicate keys
   */
  record Mapping(SourceLocation location, List<Entry> entries) implements YamlNode {
    @Override
    public String describe() {
      return "a mapping";
    }
  }

  /**
   * An entry of a mapping.
   *
   * @param location the start of the key
   * @param key the key
   * @param value the value
   */
  record Entry(SourceLocation location, String key, YamlNode value) {}

  /** The type of a scalar value. */
  enum ScalarType {
    /** Text. */
    TEXT,
    /** An integer. */
    INTEGER,
    /** A floating-point number. */
    FLOAT,
    /** True or false. */
    BOOLEAN,
    /** No value. */
    NULL
  }
}
