package io.samphiredyke.soak;

import io.samphiredyke.platform.standin.CallerStandIn;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

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

  /** Statuses that guarantee that the request did not run. */
  private static final Set<Integer> NOT_EXECUTED_STATUSES = Set.of(408, 421, 429, 503);

  private static final double MILLIS_PER_SECOND = 1e3;

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

  /** Returns whether a host promises that the request did not run. */
  boolean isRefused() {
    return signature().isEmpty() && NOT_EXECUTED_STATUSES.contains(status);
  }

  /** Returns after which time the request may be sent again, 0 if that is not stated. */
  long retryAfterMillis() {
    String seconds = headers.getOrDefault("retry-after", "0");
    return Math.round(Double.parseDouble(seconds) * MILLIS_PER_SECOND);
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
