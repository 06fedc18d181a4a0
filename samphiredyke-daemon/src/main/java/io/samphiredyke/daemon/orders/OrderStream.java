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

/** The orders stream of the log over HTTP. */
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
   * @param isExpired whether the log no longer has the records asked for
   * @param first the offset of the oldest record that the log keeps
   * @param entries the records, empty if expired
   */
  record Page(boolean isExpired, long first, List<LeaseEntry> entries) {}

  private final HttpClient http;
  private final List<InetSocketAddress> addresses;
  private int nextAddress;

  OrderStream(HttpClient http, List<InetSocketAddress> addresses) {
    this.http = http;
    this.addresses = List.copyOf(addresses);
  }

  /** Uses another address of the log from now on. */
  void changeAddress() {
    nextAddress++;
  }

  /** Reads a page, which the log may hold back until it has a record. */
  CompletableFuture<Page> read(long from) {
    String query = "?from=%d&max=%d&waitMillis=%d".formatted(from, MAX_RECORDS, WAIT_MILLIS);
    HttpRequest request = HttpRequest.get(address(), PATH + query).timeout(TIMEOUT).build();
    return http.send(request).thenApply(OrderStream::page);
  }

  /** Appends a record; fails if it isn't known to be in the log. */
  CompletableFuture<Boolean> append(OrderMessage message, Duration timeout) {
    HttpRequest request =
        HttpRequest.post(address(), PATH, Json.bytes(message)).timeout(timeout).build();
    return http.send(request).thenApply(response -> response.status() == OK);
  }

  private InetSocketAddress address() {
    return addresses.get(Math.floorMod(nextAddress, addresses.size()));
  }

  private static Page page(HttpResponse response) {
    try {
      JsonNode body = Json.read(response.body(), JsonNode.class);
      long first = body.path("first").asLong();
      return switch (response.status()) {
        case OK -> new Page(false, first, entries(body.path("records")));
        case GONE -> new Page(true, first, List.of());
        default -> throw new IOException("the log answered " + response.status());
      };
    } catch (IOException e) {
      throw new CompletionException(e);
    }
  }

  private static List<LeaseEntry> entries(JsonNode records) {
    List<LeaseEntry> entries = new ArrayList<>();
    for (JsonNode record : records) {
      entries.add(entry(record.path("offset").asLong(), record.path("value")));
    }
    return entries;
  }

  /** A record that can't be decoded is stepped over, alike on all hosts. */
  private static LeaseEntry entry(long offset, JsonNode value) {
    try {
      OrderMessage message = Json.mapper().treeToValue(value, OrderMessage.class);
      return message == null ? new LeaseEntry(offset, null, null) : message.entry(offset);
    } catch (IOException | RuntimeException e) {
      return new LeaseEntry(offset, null, null);
    }
  }
}
