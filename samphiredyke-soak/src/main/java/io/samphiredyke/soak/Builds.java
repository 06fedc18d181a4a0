package io.samphiredyke.soak;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Objects;
import java.util.TreeSet;

/** Which build of the gateway each host ran, and when. */
final class Builds {

  private record Start(String host, String build, long millis) {}

  private final List<Start> starts = new ArrayList<>();
  private final String before;

  /** Keeps builds of a run that may begin with an earlier one. */
  Builds(SoakOptions options) {
    before = options.isMixed() ? name(options.gatewayBefore()) : "";
  }

  private static String name(Path jar) {
    return Objects.toString(jar.getFileName()).replace(".jar", "");
  }

  /** Records that a host starts. */
  synchronized void started(String host, Path jar, long millis) {
    starts.add(new Start(host, name(jar), millis));
  }

  /** Returns the builds that a host ran within a time. */
  private synchronized List<String> of(String host, long fromMillis, long toMillis) {
    List<String> builds = new ArrayList<>();
    for (Start start : starts) {
      if (!start.host.equals(host) || start.millis > toMillis) {
        continue;
      }
      if (start.millis <= fromMillis) {
        builds.clear();
      }
      builds.add(start.build);
    }
    return builds;
  }

  /** Returns the builds that received the attempts of a request, empty in a run of one build. */
  String ofAttempts(Collection<CallerOutcome> attempts) {
    TreeSet<String> builds = new TreeSet<>();
    attempts.forEach(
        attempt -> builds.addAll(of(attempt.host(), attempt.sentMillis(), attempt.endMillis())));
    return label(builds);
  }

  /** Returns the builds that received the requests that a line names. */
  String ofLine(String line, Collection<Exchange> exchanges, long limitMillis) {
    TreeSet<String> builds = new TreeSet<>();
    exchanges.stream()
        .filter(exchange -> line.contains(exchange.id()))
        .forEach(
            exchange ->
                builds.addAll(
                    of(
                        exchange.host(),
                        exchange.sentMillis(),
                        exchange.sentMillis() + limitMillis)));
    return label(builds);
  }

  private String label(Collection<String> builds) {
    return before.isEmpty() || builds.isEmpty() ? "" : " [" + String.join(" ", builds) + "]";
  }

  /** Returns whether a finding concerns the earlier build alone. */
  boolean isOfEarlier(String finding) {
    return !before.isEmpty() && finding.endsWith(" [" + before + "]");
  }

  /** Returns one line for each start of a host. */
  synchronized List<String> lines() {
    return starts.stream()
        .map(start -> start.millis + " " + start.host + " starts as " + start.build)
        .toList();
  }
}
