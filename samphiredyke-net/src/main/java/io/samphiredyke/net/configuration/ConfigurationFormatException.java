package io.samphiredyke.net.configuration;

/** Thrown if JSON is not a valid configuration record; contains the path of the invalid value. */
public final class ConfigurationFormatException extends Exception {

  private static final long serialVersionUID = 1L;

  private final String path;

  /**
   * Creates the exception.
   *
   * @param path the JSON pointer of the invalid value, empty for the whole document
   * @param message the reason why the value is invalid
   */
  public ConfigurationFormatException(String path, String message) {
    super(path.isEmpty() ? message : path + ": " + message);
    this.path = path;
  }

  /** Returns the JSON pointer of the invalid value, empty for the whole document. */
  public String path() {
    return path;
  }
}
