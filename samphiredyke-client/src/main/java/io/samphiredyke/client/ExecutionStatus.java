package io.samphiredyke.client;

import java.util.Locale;
import org.jspecify.annotations.Nullable;

/** What is known about whether a request ran. */
public enum ExecutionStatus {
  /** The request didn't run, and never will under its id. */
  NOT_EXECUTED,
  /** The request ran or is running. */
  EXECUTED,
  /** It can't be told whether the request ran. */
  UNKNOWN;

  /** Returns the value that a problem document states, or null if it states none. */
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
