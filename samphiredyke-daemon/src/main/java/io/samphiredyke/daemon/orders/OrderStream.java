package io.samphiredyke.daemon.orders;

import com.fasterxml.jackson.databind.JsonNode;
import io.samphiredyke.core.orders.LeaseEntry;
import io.samphiredyke.net.codec.Json;
import io.samphiredyke.net.http.HttpClient;
import io.samphiredyke.net.http.HttpRequest;
import io.samphiredyke.net.http.HttpResponse;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;

/** HTTP client that reads and appends records of the orders stream of the log. */
final class OrderStream {

  private static final String PATH = "/v1/streams/samphiredyke-orders/records";
  private static final Duration TIMEOUT = Duration.ofSeconds(8);
  private static final int MAX_RECORDS = 500;
  private static final int WAIT_MILLIS = 5_000;
  private static final int OK = 200;
  private static final int GONE = 410;

  /**
   * A page of the stream.
   *
   * @param isOffsetOutOfRange whether the log no longer has the records asked for
   * @param firstOffset the offset of the oldest record that the log keeps
   * @param entries the records, empty if the offset is out of range
   */
  record Page(boolean isOffsetOutOfRange, long firstOffset, List<LeaseEntry> entries) {}

  private final HttpClient http;
  private final List<InetSocketAddress> addresses;
  private int nextAddress;

  OrderStream(HttpClient http, List<InetSocketAddress> addresses) {
    this.http = http;
    this.addresses = List.copyOf(addresses);
  }

  /** Switches to the next address of the log. */
  void useNextAddress() {
    nextAddress++;
  }

  /** Reads a page by a long poll: the log may delay the response until it has a record. */
  CompletableFuture<Page> read(long from) {
    String query = "?from=%d&max=%d&waitMillis=%d".formatted(from, MAX_RECORDS, WAIT_MILLIS);
    HttpRequest request = HttpRequest.get(currentAddress(), PATH + query).timeout(TIMEOUT).build();
    return http.send(request).thenApply(OrderStream::parsePage);
  }

  /** Appends a record and returns whether the log confirmed it. */
  CompletableFuture<Boolean> append(OrderMessage message, Duration timeout) {
    HttpRequest request =
        HttpRequest.post(currentAddress(), PATH, Json.bytes(message)).timeout(timeout).build();
    return http.send(request).thenApply(response -> response.status() == OK);
  }

  private InetSocketAddress currentAddress() {
    return addresses.get(Math.floorMod(nextAddress, addresses.size()));
  }

  private static Page parsePage(HttpResponse response) {
    try {
      JsonNode body = Json.read(response.body(), JsonNode.class);
      long firstOffset = body.path("first").asLong();
      return switch (response.status()) {
        case OK -> new Page(false, firstOffset, parseEntries(body.path("records")));
        case GONE -> new Page(true, firstOffset, List.of());
        default -> throw new IOException("the log responded with status " + response.status());
      };
    } catch (IOException e) {
      throw new CompletionException(e);
    }
  }

  private static List<LeaseEntry> parseEntries(JsonNode records) {
    List<LeaseEntry> entries = new ArrayList<>();
    for (JsonNode record : records) {
      entries.add(parseEntry(record.path("offset").asLong(), record.path("value")));
    }
    return entries;
  }

  /** Decodes a record. One that cannot be decoded is skipped, in the same way on all hosts. */
  private static LeaseEntry parseEntry(long offset, JsonNode value) {
    try {
      OrderMessage message = Json.mapper().treeToValue(value, OrderMessage.class);
      return message == null ? new LeaseEntry(offset, null, null) : message.toEntry(offset);
    } catch (IOException | RuntimeException e) {
      return new LeaseEntry(offset, null, null);
    }
  }
}
