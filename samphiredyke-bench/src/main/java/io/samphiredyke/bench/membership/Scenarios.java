package io.samphiredyke.bench.membership;

import static io.samphiredyke.bench.membership.Measurement.bounded;
import static io.samphiredyke.bench.membership.Measurement.unbounded;
import static io.samphiredyke.bench.membership.SimulatedGroup.NANOS_PER_SECOND;

import io.samphiredyke.core.membership.MembershipSettings;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import org.HdrHistogram.Histogram;

/** Benchmark scenarios; each except the cold start begins with a converged group. */
final class Scenarios {

  /** Size of the IPv4 and UDP headers of a datagram. */
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
      throw new IllegalStateException("the group did not converge within the time limit");
    }
    group.runFor(30 * NANOS_PER_SECOND);
    group.lossRate(loss);
    group.observe(observer);
    traffic = new TrafficMeter(group);
  }

  /** Starts all processes at once with the complete host list. */
  void coldStart() {
    String name = "cold start";
    group = new SimulatedGroup(members, settings, seed, DATAGRAM_HEADER_BYTES);
    traffic = new TrafficMeter(group);
    group.nodes.forEach(group::start);
    long convergenceNanos = group.runUntilConverged(CONVERGENCE_LIMIT_NANOS);
    addConvergence(name, convergenceNanos, 60);
    addTraffic(name, false);
  }

  /** Runs a stable group with packet loss only. */
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

  /** Crashes and restarts random hosts, one at a time. */
  void crashes(int lossPercent, int count) {
    String name = "crashes, loss " + lossPercent + "%";
    startConvergedGroup(lossPercent / 100.0);
    for (int i = 0; i < count; i++) {
      SimulatedNode node = group.nodes.get(group.random().nextInt(members));
      crash(node);
      traffic.runAndMeasure(20 * NANOS_PER_SECOND);
      start(node);
      traffic.runAndMeasure(10 * NANOS_PER_SECOND);
    }
    addDetection(name);
    addHistogram(name, "new process seen by", observer.joinLatency, 3000);
    addFalseDetections(name);
    addTraffic(name, true);
  }

  /** Pauses some processes for ten seconds. */
  void pauses(int count) {
    String name = "pause 10 s of " + count;
    startConvergedGroup(0);
    randomNodes(count).forEach(node -> group.pause(node, 10 * NANOS_PER_SECOND));
    traffic.runAndMeasure(10 * NANOS_PER_SECOND);
    long convergenceNanos = group.runUntilConverged(CONVERGENCE_LIMIT_NANOS);
    measurements.add(
        unbounded(name, "paused seen dead (by an observer)", observer.pausedDeaths, ""));
    addConvergence(name, convergenceNanos, 10);
    addFalseDetections(name);
    addTraffic(name, false);
  }

  private List<SimulatedNode> randomNodes(int count) {
    List<SimulatedNode> candidates = new ArrayList<>(group.nodes);
    List<SimulatedNode> selected = new ArrayList<>();
    while (selected.size() < Math.min(count, members / 2)) {
      selected.add(candidates.remove(group.random().nextInt(candidates.size())));
    }
    return selected;
  }

  /** Crashes several hosts at once. */
  void crashTogether(String name, List<SimulatedNode> nodes) {
    nodes.forEach(this::crash);
    traffic.runAndMeasure(30 * NANOS_PER_SECOND);
    addDetection(name);
    addFalseDetections(name);
    addTraffic(name, false);
  }

  /** Crashes a rack of twenty hosts in one data centre. */
  void rack() {
    startConvergedGroup(0);
    int size = Math.min(20, members / 8);
    crashTogether(
        "rack of " + size + " gone", select(node -> node.index % 8 == 0).subList(0, size));
  }

  /** Crashes all hosts of one data centre. */
  void dataCentre() {
    startConvergedGroup(0);
    crashTogether("data centre gone", select(node -> node.index % 8 == 3));
  }

  private List<SimulatedNode> select(Predicate<SimulatedNode> filter) {
    return group.nodes.stream().filter(filter).toList();
  }

  /** Partitions the regions for three minutes. */
  void regions() {
    String name = "regions cut 3 min";
    startConvergedGroup(0);
    group.blockLinks((from, to) -> from.region != to.region);
    observer.partitioned(true);
    traffic.runAndMeasure(180 * NANOS_PER_SECOND);
    addTraffic(name, false);
    long falseDeathsDuringPartition = observer.falseDeaths;
    group.blockLinks((from, to) -> false);
    traffic = new TrafficMeter(group);
    long healedAt = group.now();
    traffic.runAndMeasure(10 * NANOS_PER_SECOND);
    long convergenceNanos = group.runUntilConverged(CONVERGENCE_LIMIT_NANOS);
    addConvergence("regions healed", convergenceNanos < 0 ? -1 : group.now() - healedAt, 30);
    measurements.add(
        bounded(name, "false deaths inside a region", falseDeathsDuringPartition, "", 0));
    measurements.add(
        bounded(
            "regions healed",
            "false deaths",
            observer.falseDeaths - falseDeathsDuringPartition,
            "",
            0));
    traffic.runAndMeasure(20 * NANOS_PER_SECOND);
    addTraffic("regions healed", false);
  }

  /** Restarts hosts, half of them after a planned leave: a day's number of restarts in one hour. */
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
    addHistogram(name, "new process seen by", observer.joinLatency, 5000);
    addFalseDetections(name);
    addTraffic(name, true);
  }

  /** Announces the planned leave of up to ten hosts, one at a time. */
  void leaves() {
    String name = "planned leave";
    startConvergedGroup(0);
    for (SimulatedNode node : randomNodes(10)) {
      leave(node);
      traffic.runAndMeasure(10 * NANOS_PER_SECOND);
    }
    addHistogram(name, "leave seen by", observer.detectionLatency, 3000);
    addFalseDetections(name);
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
    addHistogram(
        name, "first verdict after", observer.firstDetectionLatency, DETECTION_BOUND_MILLIS);
    addHistogram(name, "seen dead by an observer after", observer.detectionLatency, 8000);
    addHistogram(name, "from the first verdict to others'", observer.disseminationLatency, 4000);
  }

  private void addHistogram(String name, String quantity, Histogram values, double boundMillis) {
    if (values.getTotalCount() == 0) {
      measurements.add(bounded(name, quantity + " (none)", 1, "missing", 0));
      return;
    }
    double p50 = ViewObserver.millis(values.getValueAtPercentile(50));
    double p99 = ViewObserver.millis(values.getValueAtPercentile(99));
    double max = ViewObserver.millis(values.getMaxValue());
    measurements.add(unbounded(name, quantity + ", p50", p50, "ms"));
    measurements.add(bounded(name, quantity + ", p99", p99, "ms", boundMillis));
    measurements.add(unbounded(name, quantity + ", max", max, "ms"));
  }

  private void addFalseDetections(String name) {
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
