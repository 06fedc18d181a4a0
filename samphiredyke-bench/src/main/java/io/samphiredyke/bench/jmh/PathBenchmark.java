package io.samphiredyke.bench.jmh;

import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;

/**
 * Measures one submission of the scheduler of a service, with the releases that follow from it and
 * its part of the ticks, while some hosts reach no endpoint and requests wait.
 */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
public class PathBenchmark {

  /** See {@link CutHosts#parse}. */
  @Param({
    "300:69:0:0:0",
    "300:69:60:0:0",
    "300:300:0:0:0",
    "300:300:100:0:0",
    "1000:69:0:0:0",
    "1000:69:60:0:0",
    "1000:300:0:0:0",
    "1000:300:100:0:0",
    "1000:300:100:0:20",
    "1000:300:100:200:0"
  })
  public String size = "300:69:0:0:0";

  private CutHosts run = CutHosts.parse(size);

  /** Brings the scheduler to the state in which the cut hosts are known and requests wait. */
  @Setup
  public void fill() {
    run = CutHosts.parse(size);
    run.fill();
  }

  /** Submits a request, and releases the slots whose requests end until then. */
  @Benchmark
  public int submit() {
    return run.step();
  }
}
