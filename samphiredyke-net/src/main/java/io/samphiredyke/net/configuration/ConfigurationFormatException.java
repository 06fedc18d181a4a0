package io.samphiredyke.net.configuration;

/** Reports JSON that is not a configuration record, with the place of the fault. */
public final class ConfigurationFormatException extends Exception {

  private static final long serialVersionUID = 1L;

  private final String path;

  /**
   * Creates the exception.
   *
   * @param path the JSON pointer of the faulty value, empty for the whole
   * @param message what is wrong with it
   */
  public ConfigurationFormatException(String path, String message) {
    super(path.isEmpty() ? message : path + ": " + message);
    this.path = path;
  }

  /** Returns the JSON pointer of the faulty value, empty for the whole. */
  public String path() {
    return path;
  }
}
