package io.samphiredyke.gateway.scheduling;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import io.samphiredyke.core.membership.ChangeCause;
import io.samphiredyke.core.membership.Member;
import io.samphiredyke.core.membership.MemberChange;
import io.samphiredyke.core.membership.MemberState;
import io.samphiredyke.core.serving.EndpointRecord;
import io.samphiredyke.core.serving.StreamOrigin;
import io.samphiredyke.net.control.ControlEventLoop;
import java.time.Clock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Streams that are taken up after their host was lost, of services that change versions. */
class StreamOriginsTest {

  private static final Duration LONGEST_STREAM = Duration.ofSeconds(8);
  private static final StreamOrigin ORIGIN = new StreamOrigin("s", "v1");
  private static final int STREAMS = 24;

  private final EmbeddedChannel channel = new EmbeddedChannel();
  private final Map<String, StreamOrigins> hosts = new LinkedHashMap<>();
  private final Set<String> lost = new HashSet<>();
  private final List<String> archived = new ArrayList<>();

  @BeforeEach
  void freezeTime() {
    channel.freezeTime();
  }

  private void startHosts(int count) {
    for (int i = 0; i < count; i++) {
      start("host-" + i);
    }
    observe("v1");
    advance(LONGEST_STREAM.multipliedBy(2));
    observe("v1");
  }

  /** Starts a host that knows no stream, in place of one with the same name. */
  private void start(String name) {
    StreamOrigins host =
        new StreamOrigins(
            new ControlEventLoop(channel.eventLoop(), Clock.systemUTC()),
            name,
            () -> hosts.keySet().stream().filter(each -> !each.equals(name)).toList(),
            (to, message) -> send(name, to, message));
    host.setLongestStream(LONGEST_STREAM);
    host.setArchive(
        new StreamOrigins.Archive() {
          @Override
          public void add(String requestId, StreamOrigin origin) {
            archived.add(requestId);
          }

          @Override
          public void find(String requestId, Listener listener) {
            listener.found(null);
          }
        });
    hosts.put(name, host);
  }

  /** Removes a host and starts one in its place, or at another address. */
  private void replace(String name, String successor) {
    hosts.remove(name);
    report(name, MemberState.ALIVE, MemberState.DEAD, ChangeCause.TIMED_OUT);
    start(successor);
    report(successor, null, MemberState.ALIVE, ChangeCause.JOINED);
  }

  private void report(
      String address, @Nullable MemberState old, MemberState current, ChangeCause cause) {
    Member member = Member.builder().address(address).state(current).build();
    hosts
        .values()
        .forEach(host -> host.memberChanged(new MemberChange(member, old, current, cause)));
    advance(Duration.ofMillis(500));
  }

  private void send(String from, String to, SchedulingMessage message) {
    if (!lost.contains(from) && !lost.contains(to)) {
      StreamOrigins receiver = hosts.get(to);
      channel.eventLoop().execute(() -> receiver.received(from, message));
    }
  }

  private void advance(Duration time) {
    channel.advanceTimeBy(time.toMillis(), TimeUnit.MILLISECONDS);
    channel.runPendingTasks();
  }

  /** Makes the endpoints of some versions known to all hosts that are not lost. */
  private void observe(String... versions) {
    List<EndpointRecord> endpoints = new ArrayList<>();
    for (String version : versions) {
      endpoints.add(
          new EndpointRecord(version, "s", "10.0.0.1:80", "a", 4, false, 0, 0, 0, version));
    }
    hosts.forEach(
        (name, host) -> {
          if (!lost.contains(name)) {
            host.observe(endpoints);
          }
        });
  }

  private void begin(StreamOrigins host) {
    for (int i = 0; i < STREAMS; i++) {
      host.began("stream-" + i, ORIGIN);
    }
    channel.runPendingTasks();
  }

  private int found(StreamOrigins host) {
    List<@Nullable StreamOrigin> found = new ArrayList<>();
    for (int i = 0; i < STREAMS; i++) {
      host.find("stream-" + i, (origin, isComplete) -> found.add(origin));
    }
    channel.runPendingTasks();
    advance(Duration.ofMillis(500));
    assertThat(found).hasSize(STREAMS);
    return (int) found.stream().filter(ORIGIN::equals).count();
  }

  /** Guards against versions that only a lost host knows, as they were not needed before. */
  @ParameterizedTest
  @CsvSource({"2, 1", "6, 1", "6, 3", "6, 5", "20, 8"})
  void versionIsKnownIfAnotherOneAppearsAfterTheLoss(int count, int lostHosts) {
    startHosts(count);
    begin(hosts.get("host-0"));
    for (int i = 0; i < lostHosts; i++) {
      lost.add("host-" + i);
    }
    advance(Duration.ofSeconds(1));
    observe("v1", "v2");
    StreamOrigins host = hosts.get("host-" + (count - 1));
    assertThat(found(host)).isGreaterThanOrEqualTo(STREAMS / 2);
  }

  /** Guards against versions that are lost while all hosts are replaced during a stream. */
  @ParameterizedTest
  @CsvSource({"2, ''", "6, ''", "6, new-", "20, ''", "20, new-"})
  void versionIsKnownAfterEachHostWasReplaced(int count, String prefix) {
    startHosts(count);
    begin(hosts.get("host-0"));
    for (int i = 0; i < count; i++) {
      replace("host-" + i, prefix + "host-" + i);
    }
    observe("v1", "v2");
    assertThat(found(hosts.get(prefix + "host-" + (count - 1)))).isEqualTo(STREAMS);
  }

  /** A host that is suspected again and again does not prolong the life of streams. */
  @Test
  void streamsExpireAlthoughHostsComeAndGo() {
    startHosts(20);
    begin(hosts.get("host-0"));
    for (int i = 0; i < 40; i++) {
      replace("host-" + (1 + i % 2), "host-" + (1 + i % 2));
      observe("v1");
    }
    assertThat(hosts.values()).allMatch(host -> host.size() == 0);
    assertThat(found(hosts.get("host-9"))).isZero();
  }

  /** The first version is gone, and another one follows the second. */
  @Test
  void versionIsKnownWhenThirdOneAppears() {
    startHosts(3);
    begin(hosts.get("host-0"));
    lost.add("host-0");
    observe("v1", "v2");
    advance(Duration.ofSeconds(1));
    observe("v2", "v3");
    assertThat(found(hosts.get("host-2"))).isEqualTo(STREAMS);
  }

  /** The archive takes few writes, and is not needed until a service has several versions. */
  @Test
  void archiveGetsTheStreamsOnceAnotherVersionAppears() {
    startHosts(2);
    begin(hosts.get("host-0"));
    assertThat(archived).isEmpty();
    observe("v1", "v2");
    assertThat(archived).hasSize(STREAMS);
  }
}
