package io.samphiredyke.schema.settings.loader;

/**
 * A fault in the settings.
 *
 * @param source the flag or the environment variable that has the fault
 * @param message what is wrong and what is expected; never contains a secret
 */
public record SettingsFinding(String source, String message) {

  @Override
  public String toString() {
    return source + ": " + message;
  }
}
