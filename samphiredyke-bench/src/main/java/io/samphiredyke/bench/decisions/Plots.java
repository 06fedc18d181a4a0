package io.samphiredyke.bench.decisions;

import io.samphiredyke.core.broker.BrokerStatus;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.CategoryChart;
import org.knowm.xchart.CategoryChartBuilder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.style.markers.SeriesMarkers;

/** Writes the bench's plots as PNG. */
final class Plots {

  private static final int WIDTH = 1_000;
  private static final int HEIGHT = 500;
  private static final double TRACE_SECONDS = 180;
  private static final long TRACE_INTERVAL_NANOS = ModelClock.seconds(0.5);

  private final Path directory;

  Plots(Path directory) {
    this.directory = directory;
  }

  /** Draws the concurrency limits of a run in which the fastest engine slows down and recovers. */
  void limits(Experiment experiment) {
    Map<String, List<Double>> limits = new TreeMap<>();
    List<Double> times = new ArrayList<>();
    Scenario scenario =
        new Scenario(WorkloadKind.SUNDARBAN, 1.2, TRACE_SECONDS, Scenario.Fault.SLOW_ENGINE);
    experiment.run(
        scenario,
        "own",
        BrokeredDispatcher.factory(BrokeredOptions.OWN),
        probe -> trace(probe, times, limits));
    XYChart chart =
        new XYChartBuilder()
            .width(WIDTH)
            .height(HEIGHT)
            .title("Concurrency limit; engine-0 at a quarter of its speed from 60 s to 120 s")
            .xAxisTitle("model time, s")
            .yAxisTitle("requests")
            .build();
    limits.forEach(
        (name, values) -> chart.addSeries(name, times, values).setMarker(SeriesMarkers.NONE));
    save(() -> BitmapEncoder.saveBitmap(chart, file("limits"), BitmapEncoder.BitmapFormat.PNG));
  }

  private static void trace(
      Experiment.Probe probe, List<Double> times, Map<String, List<Double>> limits) {
    if (probe.clock().now() > ModelClock.seconds(TRACE_SECONDS)) {
      return;
    }
    times.add(ModelClock.toSeconds(probe.clock().now()));
    BrokeredDispatcher dispatcher = (BrokeredDispatcher) probe.dispatcher();
    for (String endpoint : dispatcher.liveEndpoints()) {
      BrokerStatus status = dispatcher.status(endpoint);
      limits.computeIfAbsent(endpoint, name -> new ArrayList<>()).add((double) status.limit());
    }
    probe.clock().after(TRACE_INTERVAL_NANOS, () -> trace(probe, times, limits));
  }

  /** Draws the goodput of each tier by policy for one scenario. */
  void goodput(String name, List<RunResult> results) {
    CategoryChart chart =
        new CategoryChartBuilder()
            .width(WIDTH)
            .height(HEIGHT)
            .title("Goodput by tier, " + results.get(0).scenario().name())
            .xAxisTitle("tier")
            .yAxisTitle("share answered in time")
            .build();
    List<String> tiers = List.of("0", "1", "2", "3");
    for (RunResult result : results) {
      List<Double> values = new ArrayList<>();
      for (int rank = 0; rank < Tally.TIERS; rank++) {
        values.add(result.goodput(rank));
      }
      chart.addSeries(result.policy(), tiers, values);
    }
    save(() -> BitmapEncoder.saveBitmap(chart, file(name), BitmapEncoder.BitmapFormat.PNG));
  }

  private String file(String name) {
    return directory.resolve(name).toString();
  }

  private void save(Drawing drawing) {
    try {
      Files.createDirectories(directory);
      drawing.write();
    } catch (IOException e) {
      throw new UncheckedIOException("a plot could not be written to " + directory, e);
    }
  }

  /** Writes one file. */
  @FunctionalInterface
  private interface Drawing {

    void write() throws IOException;
  }
}
