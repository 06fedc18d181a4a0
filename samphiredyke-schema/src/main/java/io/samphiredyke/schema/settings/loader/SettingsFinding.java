package io.samphiredyke.schema.settings.loader;

/**
 * A problem in the settings of a program.
 *
 * @param source the flag or the environment variable with the problem
 * @param message the problem and the expected value; never contains a secret
 */
public record SettingsFinding(String source, String message) {

  @Override
  public String toString() {
    return source + ": " + message;
  }
}
