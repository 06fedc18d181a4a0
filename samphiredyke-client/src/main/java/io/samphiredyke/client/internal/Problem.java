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
 * @param ranText the member {@code ran}
 * @param addresses of a misdirected request, where to send it, as {@code ip:port}
 */
public record Problem(
    int status,
    @Nullable String title,
    @Nullable String detail,
    @JsonProperty("ran") @Nullable String ranText,
    @Nullable List<String> addresses) {

  /** A problem that states nothing. */
  public static final Problem NONE = new Problem(0, null, null, null, null);

  /** Reads a document; anything that isn't one reads as a problem that states nothing. */
  public static Problem parse(byte[] body) {
    try {
      return Json.read(body, Problem.class);
    } catch (IOException e) {
      return NONE;
    }
  }

  /** Reads the document in an event of a stream, which may hold it as its member error. */
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

  /** Returns whether the request ran, or null if that isn't stated. */
  public @Nullable ExecutionStatus ran() {
    return ExecutionStatus.parse(ranText);
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
