package io.samphiredyke.soak;

import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CopyOnWriteArrayList;

/** Requests, responses and executions recorded during a run. Thread-safe. */
final class Observations {

  /**
   * The execution of a request at an endpoint.
   *
   * @param version version of the endpoint's software
   * @param firstEvent number of the first event of a stream that it produces
   */
  record Execution(
      String id, String service, String customer, String version, int firstEvent, long millis) {}

  /** The end of an endpoint under a request that crashes endpoints, identified by its path. */
  record Crash(String path, long millis) {}

  private final Map<String, RequestKind> sent = new ConcurrentHashMap<>();
  private final Queue<Exchange> exchanges = new ConcurrentLinkedQueue<>();
  private final Queue<Execution> executions = new ConcurrentLinkedQueue<>();
  private final Queue<Crash> crashes = new ConcurrentLinkedQueue<>();
  private final Map<String, List<String>> endpointActions = new ConcurrentHashMap<>();
  private final Map<String, Long> deaths = new ConcurrentHashMap<>();
  private final Map<String, String> takenUp = new ConcurrentHashMap<>();

  /** Records that a caller is about to send a request. */
  void recordRequest(String id, RequestKind kind) {
    sent.put(id, kind);
  }

  /** Records the end of a request as seen by its caller. */
  void recordExchange(Exchange exchange) {
    exchanges.add(exchange);
  }

  /** Records that a request takes up a stream that another one began. */
  void recordTakeUp(String id, String streamId) {
    takenUp.put(id, streamId);
  }

  /** Returns the id of the request that began the stream of a request. */
  String streamOf(String id) {
    return takenUp.getOrDefault(id, id);
  }

  /**
   * Records the execution or the crash that a line of an endpoint's output reports, if any.
   *
   * @return whether the endpoint crashed
   */
  boolean readEndpointOutput(String service, String line) {
    String[] fields = line.split(" ");
    if (fields.length == 6 && fields[0].equals("ran")) {
      executions.add(
          new Execution(
              fields[1],
              service,
              fields[2],
              fields[3],
              Integer.parseInt(fields[4]),
              Long.parseLong(fields[5])));
    }
    boolean isCrash = fields.length == 3 && fields[0].equals("crashed");
    if (isCrash) {
      crashes.add(new Crash(fields[1], Long.parseLong(fields[2])));
    }
    return isCrash;
  }

  /**
   * Records what an endpoint states that it does, by the second word, a request's id.
   *
   * @return whether the endpoint waits to be killed
   */
  boolean recordEndpointAction(String endpoint, String line) {
    String[] words = line.split(" ", 3);
    if (words.length == 3) {
      endpointActions
          .computeIfAbsent(words[1], id -> new CopyOnWriteArrayList<>())
          .add(words[0] + " " + words[2] + " at " + endpoint);
    }
    boolean isDying = line.startsWith("broke ") && words[2].startsWith("death ");
    if (isDying) {
      recordDeath(endpoint, System.currentTimeMillis());
    }
    return isDying;
  }

  /** Records that an endpoint ended. */
  void recordDeath(String endpoint, long millis) {
    deaths.putIfAbsent(endpoint, millis);
  }

  /** Returns whether an endpoint ended within a time. */
  boolean hasDied(String endpoint, long fromMillis, long toMillis) {
    Long millis = deaths.get(endpoint);
    return millis != null && millis >= fromMillis && millis <= toMillis;
  }

  /** Returns what endpoints did to a request, in the order of their output. */
  List<String> endpointActions(String id) {
    return List.copyOf(endpointActions.getOrDefault(id, List.of()));
  }

  /** Returns what endpoints did to all requests, by the id of the request. */
  Map<String, List<String>> endpointActions() {
    return Map.copyOf(endpointActions);
  }

  List<Crash> crashes() {
    return List.copyOf(crashes);
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
