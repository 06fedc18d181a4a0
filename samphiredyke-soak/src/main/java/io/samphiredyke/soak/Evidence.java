package io.samphiredyke.soak;

import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;

/** What callers and endpoints saw during a run. Safe for use by several threads. */
final class Evidence {

  /** A run of a request at an endpoint. */
  record Run(String id, String service, String customer, long millis) {}

  private final Map<String, RequestKind> sent = new ConcurrentHashMap<>();
  private final Queue<Exchange> exchanges = new ConcurrentLinkedQueue<>();
  private final Queue<Run> runs = new ConcurrentLinkedQueue<>();

  /** Notes that a caller is about to send a request. */
  void sending(String id, RequestKind kind) {
    sent.put(id, kind);
  }

  /** Notes how a request ended for its caller. */
  void ended(Exchange exchange) {
    exchanges.add(exchange);
  }

  /** Reads a line of an endpoint's output. */
  void endpointSaid(String service, String line) {
    String[] words = line.split(" ");
    if (words.length == 4 && words[0].equals("ran")) {
      runs.add(new Run(words[1], service, words[2], Long.parseLong(words[3])));
    }
  }

  Map<String, RequestKind> sent() {
    return sent;
  }

  List<Exchange> exchanges() {
    return List.copyOf(exchanges);
  }

  List<Run> runs() {
    return List.copyOf(runs);
  }
}
