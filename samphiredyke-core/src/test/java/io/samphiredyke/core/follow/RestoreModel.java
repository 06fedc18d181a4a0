package io.samphiredyke.core.follow;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Explicit-state model of two hosts that follow a topic whose store is restored from older copies.
 *
 * <p>Steps: the operator writes the next version or writes the last one again, the store loses its
 * last records, a host reads, a response arrives late, in another order or not at all, a host
 * adopts the version of the other one, and a host restarts.
 */
final class RestoreModel {

  /** Result of an exploration. */
  record Result(int states, Optional<String> violation) {}

  /** Bounds of the exploration. */
  record Bounds(int versions, int restores, int restarts) {}

  /** A response of the store on its way; an offset of -1 marks a snapshot. */
  private record Response(long era, long from, List<Integer> versions, long end) {

    boolean isSnapshot() {
      return from < 0;
    }
  }

  private record Host(long era, long offset, int version, List<Response> responses) {

    static final Host STARTED = new Host(TopicCursor.NO_ERA, TopicCursor.NO_OFFSET, 0, List.of());

    TopicCursor cursor() {
      TopicCursor cursor = new TopicCursor();
      cursor.observeEra(era);
      if (offset != TopicCursor.NO_OFFSET) {
        cursor.acceptSnapshot(era, offset);
      }
      return cursor;
    }

    Host with(TopicCursor cursor, int newVersion) {
      return new Host(cursor.era(), cursor.offset(), newVersion, responses);
    }

    Host withResponses(List<Response> updated) {
      return new Host(era, offset, version, List.copyOf(updated));
    }
  }

  private record State(
      List<Integer> log, long era, int confirmed, int restores, int restarts, List<Host> hosts) {

    State withHost(int index, Host host) {
      List<Host> updated = new ArrayList<>(hosts);
      updated.set(index, host);
      return new State(log, era, confirmed, restores, restarts, List.copyOf(updated));
    }

    boolean hasConfirmedVersion() {
      return log.contains(confirmed);
    }
  }

  /** Responses under way to one host. It is delivered at any later step, so it may be outdated. */
  private static final int MAX_RESPONSES = 1;

  private final Bounds bounds;
  private final boolean statesEra;
  private Optional<String> violation = Optional.empty();

  /**
   * Creates a model.
   *
   * @param statesEra whether hosts see the era; without it they follow by offset alone
   */
  RestoreModel(Bounds bounds, boolean statesEra) {
    this.bounds = bounds;
    this.statesEra = statesEra;
  }

  /** Visits all reachable states until a property is violated. */
  Result explore() {
    State start = new State(List.of(1), 1, 1, 0, 0, List.of(Host.STARTED, Host.STARTED));
    Set<State> visited = new HashSet<>(Set.of(start));
    Deque<State> queue = new ArrayDeque<>(visited);
    while (!queue.isEmpty() && violation.isEmpty()) {
      State state = queue.remove();
      checkConvergence(state);
      forEachStep(
          state,
          next -> {
            if (visited.add(next)) {
              queue.add(next);
            }
          });
    }
    return new Result(visited.size(), violation);
  }

  /** A host that has read all that the store gives it must have the last confirmed version. */
  private void checkConvergence(State state) {
    for (int index = 0; state.hasConfirmedVersion() && index < state.hosts().size(); index++) {
      Host host = state.hosts().get(index);
      Host before;
      do {
        before = host;
        host = receive(before, read(state, before));
      } while (!host.equals(before));
      if (host.version() != state.confirmed()) {
        violation = Optional.of("a host stays at version " + host.version() + " in " + state);
      }
    }
  }

  private Response read(State state, Host host) {
    long era = statesEra ? state.era() : TopicCursor.NO_ERA;
    TopicCursor cursor = host.cursor();
    int end = state.log().size();
    // The store refuses a read from an offset that it does not have, and a snapshot follows.
    if (cursor.needsSnapshot() || cursor.offset() > end) {
      List<Integer> newest = end == 0 ? List.of() : List.of(state.log().get(end - 1));
      return new Response(era, TopicCursor.NO_OFFSET, newest, end);
    }
    int from = (int) cursor.offset();
    return new Response(era, from, List.copyOf(state.log().subList(from, end)), end);
  }

  private Host receive(Host host, Response response) {
    TopicCursor cursor = host.cursor();
    boolean isAccepted =
        response.isSnapshot()
            ? cursor.acceptSnapshot(response.era(), response.end())
            : cursor.offset() == response.from()
                && cursor.acceptRecords(response.era(), response.end());
    int version = host.version();
    for (int offered : isAccepted ? response.versions() : List.<Integer>of()) {
      version = Math.max(version, offered);
    }
    Host updated = host.with(cursor, version);
    if (updated.version() < host.version() || updated.era() < host.era()) {
      violation = Optional.of("a host regressed from " + host + " to " + updated);
    }
    return updated;
  }

  private void forEachStep(State state, Consumer<State> visit) {
    operatorSteps(state, visit);
    for (int index = 0; index < state.hosts().size(); index++) {
      hostSteps(state, index, visit);
    }
  }

  private void operatorSteps(State state, Consumer<State> visit) {
    if (state.confirmed() < bounds.versions()) {
      visit.accept(written(state, state.confirmed() + 1));
    }
    if (!state.hasConfirmedVersion()) {
      visit.accept(written(state, state.confirmed()));
    }
    for (int kept = 0; state.restores() < bounds.restores() && kept < state.log().size(); kept++) {
      List<Integer> copy = List.copyOf(state.log().subList(0, kept));
      visit.accept(
          new State(
              copy,
              state.era() + 1,
              state.confirmed(),
              state.restores() + 1,
              state.restarts(),
              state.hosts()));
    }
  }

  private static State written(State state, int version) {
    List<Integer> log = new ArrayList<>(state.log());
    log.add(version);
    return new State(
        List.copyOf(log), state.era(), version, state.restores(), state.restarts(), state.hosts());
  }

  private void hostSteps(State state, int index, Consumer<State> visit) {
    Host host = state.hosts().get(index);
    List<Response> responses = host.responses();
    if (responses.size() < MAX_RESPONSES) {
      List<Response> more = new ArrayList<>(responses);
      more.add(read(state, host));
      visit.accept(state.withHost(index, host.withResponses(more)));
    }
    for (Response response : responses) {
      List<Response> rest = new ArrayList<>(responses);
      rest.remove(response);
      Host without = host.withResponses(rest);
      visit.accept(state.withHost(index, without));
      visit.accept(state.withHost(index, receive(without, response)));
    }
    Host other = state.hosts().get(1 - index);
    if (other.version() > host.version()) {
      visit.accept(state.withHost(index, host.with(host.cursor(), other.version())));
    }
    if (state.restarts() < bounds.restarts()) {
      State restarted = state.withHost(index, Host.STARTED);
      visit.accept(
          new State(
              state.log(),
              state.era(),
              state.confirmed(),
              state.restores(),
              state.restarts() + 1,
              restarted.hosts()));
    }
  }
}
