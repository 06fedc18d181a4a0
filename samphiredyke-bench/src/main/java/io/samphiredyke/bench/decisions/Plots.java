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

/** Writes plots of benchmark results as PNG files. */
final class Plots {

  private static final int WIDTH = 1_000;
  private static final int HEIGHT = 500;
  private static final double RECORDED_SECONDS = 180;
  private static final long RECORDING_INTERVAL_NANOS = SimulatedClock.seconds(0.5);

  private final Path directory;

  Plots(Path directory) {
    this.directory = directory;
  }

  /** Plots the concurrency limits of a run in which the fastest engine slows down and recovers. */
  void writeConcurrencyLimits(Experiment experiment) {
    Map<String, List<Double>> limits = new TreeMap<>();
    List<Double> times = new ArrayList<>();
    Scenario scenario =
        new Scenario(WorkloadKind.SUNDARBAN, 1.2, RECORDED_SECONDS, Scenario.Fault.SLOW_ENGINE);
    experiment.run(
        scenario,
        "own",
        BrokeredDispatcher.factory(BrokeredOptions.PRODUCTION),
        state -> recordLimits(state, times, limits));
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

  private static void recordLimits(
      Experiment.RunState state, List<Double> times, Map<String, List<Double>> limits) {
    if (state.clock().now() > SimulatedClock.seconds(RECORDED_SECONDS)) {
      return;
    }
    times.add(SimulatedClock.toSeconds(state.clock().now()));
    BrokeredDispatcher dispatcher = (BrokeredDispatcher) state.dispatcher();
    for (String endpoint : dispatcher.liveEndpoints()) {
      BrokerStatus status = dispatcher.status(endpoint);
      limits.computeIfAbsent(endpoint, name -> new ArrayList<>()).add((double) status.limit());
    }
    state.clock().after(RECORDING_INTERVAL_NANOS, () -> recordLimits(state, times, limits));
  }

  /** Plots the goodput of each tier by policy for one scenario. */
  void writeGoodput(String name, List<RunResult> results) {
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
      for (int rank = 0; rank < OutcomeStatistics.TIERS; rank++) {
        values.add(result.goodput(rank));
      }
      chart.addSeries(result.policy(), tiers, values);
    }
    save(() -> BitmapEncoder.saveBitmap(chart, file(name), BitmapEncoder.BitmapFormat.PNG));
  }

  private String file(String name) {
    return directory.resolve(name).toString();
  }

  private void save(PlotWriter writer) {
    try {
      Files.createDirectories(directory);
      writer.write();
    } catch (IOException e) {
      throw new UncheckedIOException("can't write a plot to " + directory, e);
    }
  }

  /** Writes one plot to a file. */
  @FunctionalInterface
  private interface PlotWriter {

    void write() throws IOException;
  }
}
