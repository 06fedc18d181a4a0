package io.samphiredyke.client;

import java.util.Locale;
import org.jspecify.annotations.Nullable;

/** What is known about whether a request ran. */
public enum Ran {
  /** The request didn't run, and never will under its id. */
  NO,
  /** The request ran or is running. */
  YES,
  /** It can't be told whether the request ran. */
  UNKNOWN;

  /** Returns the value that a problem document states, or null if it states none. */
  public static @Nullable Ran parse(@Nullable String text) {
    if (text == null) {
      return null;
    }
    return switch (text.toLowerCase(Locale.ROOT)) {
      case "no" -> NO;
      case "yes" -> YES;
      case "unknown" -> UNKNOWN;
      default -> null;
    };
  }
}
