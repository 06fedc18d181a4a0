package io.samphiredyke.client;

import java.util.Locale;
import org.jspecify.annotations.Nullable;

/** Whether a request was executed, as far as it is known. */
public enum ExecutionStatus {
  /** The request was not executed and will never be executed with its id. */
  NOT_EXECUTED,
  /** The request was executed or is being executed. */
  EXECUTED,
  /** It is unknown whether the request was executed. */
  UNKNOWN;

  /**
   * Parses the {@code ran} member of a problem document; returns null if it is absent or not one of
   * the defined values.
   */
  public static @Nullable ExecutionStatus parse(@Nullable String text) {
    if (text == null) {
      return null;
    }
    return switch (text.toLowerCase(Locale.ROOT)) {
      case "no" -> NOT_EXECUTED;
      case "yes" -> EXECUTED;
      case "unknown" -> UNKNOWN;
      default -> null;
    };
  }
}
