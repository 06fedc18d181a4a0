package io.samphiredyke.bench.membership;

import static io.samphiredyke.bench.membership.Measurement.bounded;
import static io.samphiredyke.bench.membership.Measurement.unbounded;
import static io.samphiredyke.bench.membership.SimulatedGroup.NANOS_PER_SECOND;

import io.samphiredyke.core.membership.MembershipSettings;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import org.HdrHistogram.Histogram;

/** The runs that are measured; each starts with a group whose views are right. */
final class Scenarios {

  static final int DATAGRAM_HEADER_BYTES = 28;
  private static final double TRAFFIC_BOUND_BYTES_PER_SECOND = 5000;
  private static final double DETECTION_BOUND_MILLIS = 6000;
  private static final long CONVERGENCE_LIMIT_NANOS = 120 * NANOS_PER_SECOND;

  private final int members;
  private final long seed;
  private final MembershipSettings settings;
  private final List<Measurement> measurements = new ArrayList<>();

  private SimulatedGroup group;
  private ViewObserver observer;
  private TrafficMeter traffic;

  Scenarios(int members, long seed, MembershipSettings settings) {
    this.members = members;
    this.seed = seed;
    this.settings = settings;
    this.group = new SimulatedGroup(members, settings, seed, DATAGRAM_HEADER_BYTES);
    this.observer = new ViewObserver(group);
    this.traffic = new TrafficMeter(group);
  }

  List<Measurement> measurements() {
    return measurements;
  }

  private void startConvergedGroup(double loss) {
    group = new SimulatedGroup(members, settings, seed, DATAGRAM_HEADER_BYTES);
    observer = new ViewObserver(group);
    group.nodes.forEach(group::start);
    if (group.runUntilConverged(CONVERGENCE_LIMIT_NANOS) < 0) {
      throw new IllegalStateException("the group did not come together");
    }
    group.runFor(30 * NANOS_PER_SECOND);
    group.lossRate(loss);
    group.observe(observer);
    traffic = new TrafficMeter(group);
  }

  /** All processes start at once with the whole host list. */
  void coldStart() {
    String name = "cold start";
    group = new SimulatedGroup(members, settings, seed, DATAGRAM_HEADER_BYTES);
    traffic = new TrafficMeter(group);
    group.nodes.forEach(group::start);
    long taken = group.runUntilConverged(CONVERGENCE_LIMIT_NANOS);
    addConvergence(name, taken, 60);
    addTraffic(name, false);
  }

  /** Nothing happens but loss. */
  void steady(int lossPercent) {
    String name = "steady, loss " + lossPercent + "%";
    startConvergedGroup(lossPercent / 100.0);
    long seconds = 300;
    traffic.runAndMeasure(seconds * NANOS_PER_SECOND);
    double hours = members * seconds / 3600.0;
    addTraffic(name, true);
    measurements.add(
        unbounded(
            name,
            "false suspicions (by an observer)",
            observer.falseSuspicions / hours,
            "/member h"));
    measurements.add(bounded(name, "false deaths", observer.falseDeaths, "", 0));
  }

  /** Hosts die one after the other. */
  void crashes(int lossPercent, int count) {
    String name = "crashes, loss " + lossPercent + "%";
    startConvergedGroup(lossPercent / 100.0);
    for (int i = 0; i < count; i++) {
      SimulatedNode victim = group.nodes.get(group.random().nextInt(members));
      crash(victim);
      traffic.runAndMeasure(20 * NANOS_PER_SECOND);
      start(victim);
      traffic.runAndMeasure(10 * NANOS_PER_SECOND);
    }
    addDetection(name);
    addHistogram(name, "new process seen by", observer.joins, 3000);
    addFalseVerdicts(name);
    addTraffic(name, true);
  }

  /** Some processes stop running for ten seconds. */
  void pauses(int count) {
    String name = "pause 10 s of " + count;
    startConvergedGroup(0);
    randomNodes(count).forEach(node -> group.pause(node, 10 * NANOS_PER_SECOND));
    traffic.runAndMeasure(10 * NANOS_PER_SECOND);
    long taken = group.runUntilConverged(CONVERGENCE_LIMIT_NANOS);
    measurements.add(
        unbounded(name, "paused seen dead (by an observer)", observer.pausedDeaths, ""));
    addConvergence(name, taken, 10);
    addFalseVerdicts(name);
    addTraffic(name, false);
  }

  private List<SimulatedNode> randomNodes(int count) {
    List<SimulatedNode> nodes = new ArrayList<>(group.nodes);
    List<SimulatedNode> chosen = new ArrayList<>();
    while (chosen.size() < Math.min(count, members / 2)) {
      chosen.add(nodes.remove(group.random().nextInt(nodes.size())));
    }
    return chosen;
  }

  /** Many hosts die at once. */
  void massCrash(String name, List<SimulatedNode> victims) {
    victims.forEach(this::crash);
    traffic.runAndMeasure(30 * NANOS_PER_SECOND);
    addDetection(name);
    addFalseVerdicts(name);
    addTraffic(name, false);
  }

  /** A rack of twenty hosts in one data centre dies. */
  void rack() {
    startConvergedGroup(0);
    int size = Math.min(20, members / 8);
    massCrash("rack of " + size + " gone", select(node -> node.index % 8 == 0).subList(0, size));
  }

  /** All hosts of one data centre die. */
  void dataCentre() {
    startConvergedGroup(0);
    massCrash("data centre gone", select(node -> node.index % 8 == 3));
  }

  private List<SimulatedNode> select(Predicate<SimulatedNode> filter) {
    return group.nodes.stream().filter(filter).toList();
  }

  /** The regions lose each other for three minutes. */
  void regions() {
    String name = "regions cut 3 min";
    startConvergedGroup(0);
    group.blockLinks((from, to) -> from.region != to.region);
    observer.partitioned(true);
    traffic.runAndMeasure(180 * NANOS_PER_SECOND);
    addTraffic(name, false);
    long cutFalse = observer.falseDeaths;
    group.blockLinks((from, to) -> false);
    traffic = new TrafficMeter(group);
    long healedAt = group.now();
    traffic.runAndMeasure(10 * NANOS_PER_SECOND);
    long taken = group.runUntilConverged(CONVERGENCE_LIMIT_NANOS);
    addConvergence("regions healed", taken < 0 ? -1 : group.now() - healedAt, 30);
    measurements.add(bounded(name, "false deaths inside a region", cutFalse, "", 0));
    measurements.add(
        bounded("regions healed", "false deaths", observer.falseDeaths - cutFalse, "", 0));
    traffic.runAndMeasure(20 * NANOS_PER_SECOND);
    addTraffic("regions healed", false);
  }

  /** Hosts announce a planned leave and are replaced, as often as in a day, in an hour. */
  void restarts() {
    String name = "200 restarts in 1 h";
    startConvergedGroup(0.01);
    int restarts = 200;
    for (int i = 0; i < restarts; i++) {
      SimulatedNode node = group.nodes.get(group.random().nextInt(members));
      if (i % 2 == 0) {
        leave(node);
      }
      traffic.runAndMeasure(2 * NANOS_PER_SECOND);
      observer.recordStop(node);
      group.stop(node);
      traffic.runAndMeasure(3 * NANOS_PER_SECOND);
      start(node);
      traffic.runAndMeasure(13 * NANOS_PER_SECOND);
    }
    addHistogram(name, "new process seen by", observer.joins, 5000);
    addFalseVerdicts(name);
    addTraffic(name, true);
  }

  /** Hosts leave as planned. */
  void leaves() {
    String name = "planned leave";
    startConvergedGroup(0);
    for (SimulatedNode node : randomNodes(10)) {
      leave(node);
      traffic.runAndMeasure(10 * NANOS_PER_SECOND);
    }
    addHistogram(name, "leave seen by", observer.detection, 3000);
    addFalseVerdicts(name);
  }

  private void leave(SimulatedNode node) {
    observer.recordStop(node);
    if (node.membership != null) {
      node.membership.leave(group.now());
      group.scheduleTick(node);
    }
  }

  private void crash(SimulatedNode node) {
    observer.recordStop(node);
    group.stop(node);
  }

  private void start(SimulatedNode node) {
    group.start(node);
    observer.recordStart(node);
  }

  private void addConvergence(String name, long nanos, double boundSeconds) {
    double seconds = nanos < 0 ? Double.MAX_VALUE : nanos / (double) NANOS_PER_SECOND;
    measurements.add(bounded(name, "all views right after", seconds, "s", boundSeconds));
  }

  private void addDetection(String name) {
    addHistogram(name, "first verdict after", observer.firstDetection, DETECTION_BOUND_MILLIS);
    addHistogram(name, "seen dead by an observer after", observer.detection, 8000);
    addHistogram(name, "from the first verdict to others'", observer.dissemination, 4000);
  }

  private void addHistogram(String name, String what, Histogram values, double boundMillis) {
    if (values.getTotalCount() == 0) {
      measurements.add(bounded(name, what + " (none)", 1, "missing", 0));
      return;
    }
    double p50 = ViewObserver.millis(values.getValueAtPercentile(50));
    double p99 = ViewObserver.millis(values.getValueAtPercentile(99));
    double max = ViewObserver.millis(values.getMaxValue());
    measurements.add(unbounded(name, what + ", p50", p50, "ms"));
    measurements.add(bounded(name, what + ", p99", p99, "ms", boundMillis));
    measurements.add(unbounded(name, what + ", max", max, "ms"));
  }

  private void addFalseVerdicts(String name) {
    measurements.add(
        unbounded(name, "false suspicions (by an observer)", observer.falseSuspicions, ""));
    measurements.add(bounded(name, "false deaths (by an observer)", observer.falseDeaths, "", 0));
  }

  private void addTraffic(String name, boolean bounded) {
    double bound = bounded ? TRAFFIC_BOUND_BYTES_PER_SECOND : Double.POSITIVE_INFINITY;
    measurements.add(bounded(name, "traffic, mean of nodes", traffic.mean(), "B/s", bound));
    measurements.add(bounded(name, "traffic, busiest node", traffic.busiest(), "B/s", bound));
    if (traffic.peak() > 0) {
      measurements.add(
          unbounded(name, "traffic, busiest 5 s, mean of nodes", traffic.peak(), "B/s"));
    }
  }

  static void print(List<Measurement> figures) {
    figures.stream().map(Measurement::format).forEach(System.out::println);
  }
}
