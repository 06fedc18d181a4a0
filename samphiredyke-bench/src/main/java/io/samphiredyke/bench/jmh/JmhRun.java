package io.samphiredyke.bench.jmh;

import java.util.Collection;
import org.openjdk.jmh.profile.GCProfiler;
import org.openjdk.jmh.results.RunResult;
import org.openjdk.jmh.runner.Runner;
import org.openjdk.jmh.runner.RunnerException;
import org.openjdk.jmh.runner.options.Options;
import org.openjdk.jmh.runner.options.OptionsBuilder;
import org.openjdk.jmh.runner.options.TimeValue;

/** Runs a benchmark class in a process of its own, with allocation counts. */
final class JmhRun {

  private static final int ITERATIONS = 5;
  private static final int ITERATION_SECONDS = 1;

  private JmhRun() {}

  /**
   * Runs all methods and sizes of a benchmark.
   *
   * @param jvmArguments arguments of the process that runs it
   */
  static Collection<RunResult> run(Class<?> benchmark, String... jvmArguments) {
    Options options =
        new OptionsBuilder()
            .include(benchmark.getSimpleName())
            .forks(1)
            .jvmArgsAppend(jvmArguments)
            .warmupIterations(ITERATIONS)
            .warmupTime(TimeValue.seconds(ITERATION_SECONDS))
            .measurementIterations(ITERATIONS)
            .measurementTime(TimeValue.seconds(ITERATION_SECONDS))
            .addProfiler(GCProfiler.class)
            .build();
    try {
      return new Runner(options).run();
    } catch (RunnerException e) {
      throw new IllegalStateException("the benchmark could not be run", e);
    }
  }
}
