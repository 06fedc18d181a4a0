package io.samphiredyke.soak;

import io.samphiredyke.platform.standin.CallerStandIn;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;

/**
 * What a caller received for one request, byte for byte.
 *
 * @param streamId id of the request that began the stream, the same id for a new one
 * @param lastEventBefore number of the last event that the caller had before, 0 for none
 * @param versionBefore software version that made that event, empty for none
 * @param sentMillis when it was sent, milliseconds since the epoch
 * @param endMillis when the response or the connection ended
 * @param status the status, 0 if there was none
 * @param headers the headers, with names in lower case
 */
record CallerOutcome(
    String id,
    RequestKind kind,
    String streamId,
    int lastEventBefore,
    String versionBefore,
    String host,
    long sentMillis,
    long endMillis,
    End end,
    int status,
    Map<String, String> headers,
    byte[] bytes) {

  /** How a response ended. */
  enum End {
    WHOLE,
    CLOSED_WITHOUT_A_BYTE,
    CLOSED_WITHIN,
    NO_OUTCOME,
    MALFORMED
  }

  String body() {
    return new String(bytes, StandardCharsets.UTF_8);
  }

  boolean isSuccess() {
    return status >= 200 && status < 300;
  }

  boolean isWhole() {
    return end == End.WHOLE;
  }

  /** Returns the signature of the endpoint, empty if there is none. */
  String signature() {
    return CallerStandIn.signature(headers);
  }

  /** Returns the end and the status, the same for all outcomes of a kind. */
  String summary() {
    return status == 0 ? end.name() : status + " " + end.name();
  }

  @Override
  public String toString() {
    return String.format(
        Locale.ROOT,
        "%s %s of %s after event %d at %s, sent %d, ended %d: %s, signature '%s', body '%s'",
        id,
        kind,
        streamId,
        lastEventBefore,
        host,
        sentMillis,
        endMillis,
        summary(),
        signature(),
        body().replace("\n", "|"));
  }
}
