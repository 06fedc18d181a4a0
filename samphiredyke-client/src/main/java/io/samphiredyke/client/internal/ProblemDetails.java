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
 * A problem document of RFC 9457 with the system's own members.
 *
 * @param status the HTTP status, 0 if absent
 * @param title the kind of problem
 * @param detail this problem
 * @param executionText the member {@code ran}
 * @param addresses of a misdirected request, where to send it, as {@code ip:port}
 */
public record ProblemDetails(
    int status,
    @Nullable String title,
    @Nullable String detail,
    @JsonProperty("ran") @Nullable String executionText,
    @Nullable List<String> addresses) {

  /** A problem that states nothing. */
  public static final ProblemDetails NONE = new ProblemDetails(0, null, null, null, null);

  /** Reads a document; anything that isn't one reads as a problem that states nothing. */
  public static ProblemDetails parse(byte[] body) {
    try {
      return Json.read(body, ProblemDetails.class);
    } catch (IOException e) {
      return NONE;
    }
  }

  /** Reads the document in an event of a stream, which may hold it as its member error. */
  public static ProblemDetails parseEvent(String data) {
    byte[] bytes = data.getBytes(StandardCharsets.UTF_8);
    try {
      ProblemDetails inner = Json.read(bytes, ErrorEvent.class).error();
      return inner == null ? parse(bytes) : inner;
    } catch (IOException e) {
      return NONE;
    }
  }

  private record ErrorEvent(@Nullable ProblemDetails error) {}

  /** Returns whether the request ran, or null if that isn't stated. */
  public @Nullable ExecutionStatus executionStatus() {
    return ExecutionStatus.parse(executionText);
  }

  /** Returns the addresses, or none if one of them can't be read. */
  List<InetSocketAddress> parsedAddresses() {
    try {
      return addresses == null ? List.of() : HostPorts.parse(addresses);
    } catch (IllegalArgumentException e) {
      return List.of();
    }
  }

  /** Returns the problem as one sentence. */
  public String message() {
    if (detail != null) {
      return detail;
    }
    return title != null ? title : "no reason stated";
  }
}
