package io.samphiredyke.core.pool;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.AbstractSet;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.BiPredicate;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Hosts that reach some or no endpoints, and endpoints that no host reaches. */
class PoolSchedulerPathTest extends PoolSchedulerFixture {

  private static final int SLOTS = 4;
  private static final int SERVE_MILLIS = 100;
  private static final int TICK_MILLIS = 15;

  /** Time from the cut until hosts with paths must be served as before, {@code StableWindowMs}. */
  private static final int STABLE_MILLIS = 3_000;

  /** An empty set of excluded endpoints that counts for how many endpoints it is asked. */
  private static final class Visits extends AbstractSet<String> {
    private long count;

    @Override
    public boolean contains(@Nullable Object endpoint) {
      count++;
      return false;
    }

    @Override
    public Iterator<String> iterator() {
      return Collections.emptyIterator();
    }

    @Override
    public int size() {
      return 0;
    }
  }

  private record Event(long at, long number, Runnable action) {}

  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          (a, b) ->
              a.at() != b.at() ? Long.compare(a.at(), b.at()) : (int) (a.number() - b.number()));
  private final Map<Long, SlotRequest> submitted = new HashMap<>();
  private final Map<Long, Long> submittedAt = new HashMap<>();
  private final Map<Long, Long> grantedAt = new HashMap<>();
  private final Set<Long> failed = new HashSet<>();
  private final Visits visits = new Visits();
  private BiPredicate<String, String> reaches = (host, endpoint) -> true;
  private int hangMillis;
  private long now;
  private long nextEvent;
  private long nextId = 1;

  private void at(long time, Runnable action) {
    events.add(new Event(time, nextEvent++, action));
  }

  @Override
  public void granted(SlotRequest request, String endpointId) {
    super.granted(request, endpointId);
    grantedAt.put(request.id(), now);
    if (reaches.test(request.requester(), endpointId)) {
      at(now + SERVE_MILLIS * MILLI, () -> end(request, Outcome.SERVED));
    } else {
      failed.add(request.id());
      at(now + hangMillis * MILLI, () -> end(request, Outcome.FAILED));
    }
  }

  private void end(SlotRequest request, Outcome outcome) {
    String endpoint = grants.get(request.id());
    double millis = outcome == Outcome.SERVED ? SERVE_MILLIS : hangMillis;
    scheduler.release("s", endpoint, request.id(), outcome, millis, now);
  }

  private long submit(String host, int rank) {
    SlotRequest request =
        new SlotRequest(
            nextId++,
            host,
            "s",
            rank,
            1,
            WorkEstimate.PLAIN,
            "",
            0,
            false,
            visits,
            now + 400 * MILLI,
            now + 1_000 * MILLI);
    submitted.put(request.id(), request);
    submittedAt.put(request.id(), now);
    scheduler.submit(request, now);
    return request.id();
  }

  /** Lets each host send a request at an interval, until a time. */
  private void send(List<String> hosts, int everyMillis, long untilMillis) {
    for (int i = 0; i < hosts.size(); i++) {
      String host = hosts.get(i);
      for (long at = i; at < untilMillis; at += everyMillis) {
        at(at * MILLI, () -> submit(host, 0));
      }
    }
    for (long at = 0; at < untilMillis; at += TICK_MILLIS) {
      at(at * MILLI, () -> scheduler.tick(now));
    }
  }

  private void run(long untilMillis) {
    while (!events.isEmpty() && events.peek().at() < untilMillis * MILLI) {
      Event event = events.remove();
      now = event.at();
      event.action().run();
    }
    now = untilMillis * MILLI;
  }

  private void putEndpoints(int count) {
    for (int i = 0; i < count; i++) {
      scheduler.put(endpoint("e" + i, SLOTS), 0);
    }
  }

  private static List<String> hosts(int count) {
    List<String> hosts = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      hosts.add("host" + i);
    }
    return hosts;
  }

  /** Returns the requests of some hosts that were submitted from a time on. */
  private List<Long> requestsOf(Set<String> hosts, long fromMillis) {
    return submitted.values().stream()
        .filter(request -> hosts.contains(request.requester()))
        .map(SlotRequest::id)
        .filter(id -> submittedAt.get(id) >= fromMillis * MILLI)
        .toList();
  }

  /** Half of the slots are in use, so that a request of a host with paths finds a free one. */
  @ParameterizedTest
  @CsvSource({"4, 1, 0", "4, 2, 0", "4, 3, 0", "4, 1, 500", "4, 2, 500", "8, 6, 0", "8, 6, 500"})
  void hostWithoutPathDoesNotPauseEndpointForOthers(int count, int cut, int hang) {
    hangMillis = hang;
    putEndpoints(4);
    List<String> hosts = hosts(count);
    Set<String> without = Set.copyOf(hosts.subList(0, cut));
    Set<String> with = Set.copyOf(hosts.subList(cut, count));
    at(1_000 * MILLI, () -> reaches = (host, endpoint) -> !without.contains(host));
    send(hosts, 12 * count, 10_000);
    run(10_000);
    List<Long> others = requestsOf(with, 1_000 + STABLE_MILLIS);
    long refused = others.stream().filter(refusals::containsKey).count();
    long delayed =
        others.stream()
            .filter(
                id -> grantedAt.getOrDefault(id, now) - submittedAt.get(id) > SERVE_MILLIS * MILLI)
            .count();
    assertThat(refused).as("refused of " + others.size()).isZero();
    assertThat(delayed).as("delayed of " + others.size()).isLessThanOrEqualTo(others.size() / 50);
  }

  @Test
  void crashedEndpointIsStillPausedForAll() {
    putEndpoints(3);
    List<String> hosts = hosts(6);
    at(1_000 * MILLI, () -> reaches = (host, endpoint) -> !endpoint.equals("e0"));
    send(hosts, 120, 5_000);
    run(5_000);
    assertThat(failed)
        .as("two, those under way, and one after each pause")
        .hasSizeLessThanOrEqualTo(9);
    assertThat(refusals).isEmpty();
  }

  @Test
  void crashedEndpointIsPausedForHostsThatHaveNotTriedIt() {
    putEndpoints(3);
    reaches = (host, endpoint) -> !endpoint.equals("e0");
    send(hosts(2), 10, 300);
    run(300);
    int before = failed.size();
    for (int i = 0; i < 12; i++) {
      submit("new" + i, 0);
    }
    run(500);
    assertThat(failed.size() - before).as("one attempt after a pause").isLessThanOrEqualTo(1);
  }

  /** The host without a path asks first, and with the higher rank. */
  @Test
  void slotGoesToTheHostThatReachesTheEndpoint() {
    scheduler.put(endpoint("e0", 1), 0);
    reaches = (host, endpoint) -> !host.equals("host0");
    send(hosts(2), 250, 2_000);
    run(2_200);
    submit("host1", 0);
    long cut = submit("host0", 0);
    long sound = submit("host1", 2);
    run(2_450);
    assertThat(grantedAt.get(sound)).isLessThan(grantedAt.getOrDefault(cut, now));
  }

  @Test
  void hostThatReachesOneEndpointGetsThatOne() {
    putEndpoints(4);
    reaches = (host, endpoint) -> !host.equals("host0") || endpoint.equals("e3");
    send(hosts(3), 60, 10_000);
    run(10_000);
    List<Long> own = requestsOf(Set.of("host0"), STABLE_MILLIS);
    long lost = own.stream().filter(id -> failed.contains(id) || refusals.containsKey(id)).count();
    assertThat(lost).as("lost of " + own.size()).isLessThanOrEqualTo(own.size() / 5);
  }

  @Test
  void hostWhosePathHealsIsServedAgain() {
    hangMillis = 500;
    putEndpoints(4);
    at(1_000 * MILLI, () -> reaches = (host, endpoint) -> !host.equals("host0"));
    at(5_000 * MILLI, () -> reaches = (host, endpoint) -> true);
    send(hosts(4), 48, 8_000);
    run(8_000);
    List<Long> own = requestsOf(Set.of("host0"), 6_000);
    long unserved =
        own.stream().filter(id -> failed.contains(id) || !grants.containsKey(id)).count();
    assertThat(unserved).as("not served of " + own.size()).isLessThanOrEqualTo(1);
  }

  /** The cost of a decision must not grow with the endpoints, the hosts or those cut off. */
  @ParameterizedTest
  @CsvSource({"74, 69, 0", "74, 69, 60", "300, 69, 60", "300, 300, 100", "1000, 300, 100"})
  void decisionLooksAtFewEndpoints(int endpoints, int count, int cut) {
    hangMillis = 500;
    putEndpoints(endpoints);
    reaches = (host, endpoint) -> Integer.parseInt(host.substring(4)) >= cut;
    send(hosts(count), count * 1_000 / (8 * endpoints), 3_000);
    run(2_000);
    final long before = visits.count;
    final int submittedBefore = submitted.size();
    run(3_000);
    long decisions = submitted.size() - submittedBefore;
    assertThat((visits.count - before) / decisions)
        .as("endpoints looked at for each of %d requests", decisions)
        .isLessThanOrEqualTo(10);
  }

  /** Paths are lost and found at random, also while requests hang. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void allHostsAreServedOnceTheirPathsAreBack(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    putEndpoints(4);
    Set<String> lost = new HashSet<>();
    reaches = (host, endpoint) -> !lost.contains(host + endpoint) && !lost.contains(host);
    for (long at = 500; at < 10_000; at += 100) {
      String host = "host" + random.nextInt(4);
      String path = random.nextBoolean() ? host : host + "e" + random.nextInt(4);
      at(at * MILLI, () -> hangMillis = random.nextInt(600));
      at(at * MILLI, () -> lost.add(path));
      at((at + random.nextInt(3_000)) * MILLI, () -> lost.remove(path));
    }
    at(10_000 * MILLI, lost::clear);
    send(hosts(4), 48, 16_000);
    run(16_000);
    List<Long> last = requestsOf(Set.copyOf(hosts(4)), 14_000);
    assertThat(last)
        .filteredOn(id -> failed.contains(id) || refusals.containsKey(id))
        .as("not served of " + last.size())
        .isEmpty();
  }
}
