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
 * An RFC 9457 problem document, extended by whether the request was executed.
 *
 * @param status the HTTP status
 * @param title the short description of the kind of problem
 * @param detail the description of this occurrence of the problem
 * @param executionStatus whether the request ran
 * @param retryAfter the time to wait before a retry, or null
 * @param addresses the addresses of hosts that the request may be sent to instead
 */
public record Problem(
    int status,
    String title,
    String detail,
    ExecutionStatus executionStatus,
    @Nullable Duration retryAfter,
    List<String> addresses) {

  private static final String ID_HEADER = "idempotency-key";

  /** Whether a request was executed. */
  public enum ExecutionStatus {
    /** The request was not executed and never will be under this id. */
    NOT_EXECUTED("no"),
    /** The request was executed or is being executed. */
    EXECUTED("yes"),
    /** It cannot be determined whether the request was executed. */
    UNKNOWN("unknown");

    private final String text;

    ExecutionStatus(String text) {
      this.text = text;
    }

    /** Returns the value of the JSON member {@code ran}. */
    public String text() {
      return text;
    }
  }

  @JsonInclude(JsonInclude.Include.NON_EMPTY)
  private record Document(
      String type, String title, int status, String detail, String ran, List<String> addresses) {}

  /** Returns a problem of a request that was not executed. */
  public static Problem notExecuted(int status, String title, String detail) {
    return new Problem(status, title, detail, ExecutionStatus.NOT_EXECUTED, null, List.of());
  }

  /** Returns a problem with the given execution status. */
  public static Problem of(
      int status, String title, String detail, ExecutionStatus executionStatus) {
    return new Problem(status, title, detail, executionStatus, null, List.of());
  }

  /** Returns a copy of this problem with a time to wait before a retry. */
  public Problem withRetryAfter(Duration time) {
    return new Problem(status, title, detail, executionStatus, time, addresses);
  }

  /** Returns a copy of this problem with addresses of other hosts. */
  public Problem withAddresses(List<String> others) {
    return new Problem(status, title, detail, executionStatus, retryAfter, List.copyOf(others));
  }

  /** Returns the document as JSON. */
  public byte[] json() {
    return Json.bytes(
        new Document("about:blank", title, status, detail, executionStatus.text(), addresses));
  }

  /** Sends the problem as the complete response, with the id of the request that it answers. */
  public void send(HttpExchange exchange) {
    Map<String, String> headers = new LinkedHashMap<>();
    headers.put("content-type", "application/problem+json");
    String requestId = exchange.header(ID_HEADER);
    if (requestId != null) {
      headers.put(ID_HEADER, requestId);
    }
    Duration wait = retryAfter;
    if (wait != null) {
      headers.put("retry-after", Long.toString(Math.max(1, wait.toSeconds())));
    }
    exchange.respond(status, headers, json());
  }
}
