package io.samphiredyke.daemon.response;

import com.fasterxml.jackson.annotation.JsonInclude;
import io.samphiredyke.net.codec.Json;
import io.samphiredyke.net.http.HttpExchange;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * An RFC 9457 problem document that also says whether the request ran.
 *
 * @param status the HTTP status
 * @param title what is wrong, in a few words
 * @param detail what is wrong with this request
 * @param ran whether the request ran
 * @param retryAfter when to come back, or null
 * @param addresses where to send the request instead
 */
public record Problem(
    int status,
    String title,
    String detail,
    ExecutionStatus ran,
    @Nullable Duration retryAfter,
    List<String> addresses) {

  /** Whether a request ran. */
  public enum ExecutionStatus {
    /** It did not run and never will under this id. */
    NOT_EXECUTED("no"),
    /** It ran. */
    EXECUTED("yes"),
    /** It cannot be decided whether it ran. */
    UNKNOWN("unknown");

    private final String text;

    ExecutionStatus(String text) {
      this.text = text;
    }

    /** Returns the value of the member {@code ran}. */
    public String text() {
      return text;
    }
  }

  @JsonInclude(JsonInclude.Include.NON_EMPTY)
  private record Document(
      String type, String title, int status, String detail, String ran, List<String> addresses) {}

  /** Returns a problem of a request that did not run. */
  public static Problem notRun(int status, String title, String detail) {
    return new Problem(status, title, detail, ExecutionStatus.NOT_EXECUTED, null, List.of());
  }

  /** Returns a problem of a request that ran or may have run. */
  public static Problem of(int status, String title, String detail, ExecutionStatus ran) {
    return new Problem(status, title, detail, ran, null, List.of());
  }

  /** Returns this problem with a time after which to come back. */
  public Problem withRetryAfter(Duration time) {
    return new Problem(status, title, detail, ran, time, addresses);
  }

  /** Returns this problem with addresses to go to instead. */
  public Problem withAddresses(List<String> others) {
    return new Problem(status, title, detail, ran, retryAfter, List.copyOf(others));
  }

  /** Returns the document as JSON. */
  public byte[] json() {
    return Json.bytes(new Document("about:blank", title, status, detail, ran.text(), addresses));
  }

  /** Sends the problem as the whole answer. */
  public void send(HttpExchange exchange) {
    Map<String, String> headers = new LinkedHashMap<>();
    headers.put("content-type", "application/problem+json");
    Duration wait = retryAfter;
    if (wait != null) {
      headers.put("retry-after", Long.toString(Math.max(1, wait.toSeconds())));
    }
    exchange.respond(status, headers, json());
  }
}
