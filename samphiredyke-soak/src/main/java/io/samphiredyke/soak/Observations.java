package io.samphiredyke.soak;

import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;

/** Requests, responses and executions recorded during a run. Thread-safe. */
final class Observations {

  /** The execution of a request at an endpoint. */
  record Execution(String id, String service, String customer, long millis) {}

  private final Map<String, RequestKind> sent = new ConcurrentHashMap<>();
  private final Queue<Exchange> exchanges = new ConcurrentLinkedQueue<>();
  private final Queue<Execution> executions = new ConcurrentLinkedQueue<>();

  /** Records that a caller is about to send a request. */
  void recordRequest(String id, RequestKind kind) {
    sent.put(id, kind);
  }

  /** Records the end of a request as seen by its caller. */
  void recordExchange(Exchange exchange) {
    exchanges.add(exchange);
  }

  /** Records the execution that a line of an endpoint's output reports, if any. */
  void readEndpointOutput(String service, String line) {
    String[] fields = line.split(" ");
    if (fields.length == 4 && fields[0].equals("ran")) {
      executions.add(new Execution(fields[1], service, fields[2], Long.parseLong(fields[3])));
    }
  }

  Map<String, RequestKind> sent() {
    return sent;
  }

  List<Exchange> exchanges() {
    return List.copyOf(exchanges);
  }

  List<Execution> executions() {
    return List.copyOf(executions);
  }
}
