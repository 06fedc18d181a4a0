package io.samphiredyke.client.internal;

import com.fasterxml.jackson.annotation.JsonProperty;
import io.samphiredyke.client.ExecutionStatus;
import io.samphiredyke.net.codec.Json;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Problem details (RFC 9457) with extension members.
 *
 * @param status the HTTP status, 0 if absent
 * @param title the summary of the problem type
 * @param detail the explanation of this problem
 * @param executionText the extension member {@code ran}, which states whether the request was
 *     executed
 * @param addresses the hosts to send a misdirected request to, as {@code ip:port}
 */
public record Problem(
    int status,
    @Nullable String title,
    @Nullable String detail,
    @JsonProperty("ran") @Nullable String executionText,
    @Nullable List<String> addresses) {

  /** A problem without any members. */
  public static final Problem NONE = new Problem(0, null, null, null, null);

  /** Parses a problem document. Returns {@link #NONE} for any other input. */
  public static Problem parse(byte[] body) {
    try {
      return Json.read(body, Problem.class);
    } catch (IOException e) {
      return NONE;
    }
  }

  /**
   * Parses a problem document from a stream event, either the data itself or its member {@code
   * error}.
   */
  public static Problem parseEvent(String data) {
    byte[] bytes = data.getBytes(StandardCharsets.UTF_8);
    try {
      Problem inner = Json.read(bytes, ErrorEvent.class).error();
      return inner == null ? parse(bytes) : inner;
    } catch (IOException e) {
      return NONE;
    }
  }

  private record ErrorEvent(@Nullable Problem error) {}

  /** Returns whether the request was executed, or null if the document does not state it. */
  public @Nullable ExecutionStatus executionStatus() {
    return ExecutionStatus.parse(executionText);
  }

  /** Returns the addresses, or an empty list if one of them is malformed. */
  List<InetSocketAddress> parsedAddresses() {
    try {
      return addresses == null ? List.of() : HostPortParser.parse(addresses);
    } catch (IllegalArgumentException e) {
      return List.of();
    }
  }

  /** Returns the detail of the problem, or else its title. */
  public String message() {
    if (detail != null) {
      return detail;
    }
    return title != null ? title : "no reason given";
  }
}
