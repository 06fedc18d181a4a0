package io.samphiredyke.core.invariant;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.Supplier;

/**
 * Checks named invariants and counts checks and violations.
 *
 * <p>A check that holds costs one map lookup and one addition; the detail is only built for a
 * violation. Safe for use by several threads.
 */
public final class InvariantChecker {

  private static final class Counts {
    private final LongAdder checks = new LongAdder();
    private final LongAdder violations = new LongAdder();
  }

  private final InvariantHandler handler;
  private final ConcurrentHashMap<String, Counts> counts = new ConcurrentHashMap<>();

  /**
   * Creates a facility without counts.
   *
   * @param handler called for each violation after it has been counted
   */
  public InvariantChecker(InvariantHandler handler) {
    this.handler = handler;
  }

  /** Returns a facility that throws on every violation, for tests. */
  public static InvariantChecker throwing() {
    return new InvariantChecker(InvariantHandler.throwing());
  }

  /**
   * Checks one invariant.
   *
   * @param invariant the invariant
   * @param holds whether it holds
   * @param detail describes the state, called only for a violation
   * @return {@code holds}
   */
  public boolean check(Invariant invariant, boolean holds, Supplier<String> detail) {
    Counts count = countsOf(invariant.name());
    count.checks.increment();
    if (holds) {
      return true;
    }
    count.violations.increment();
    handler.violated(invariant, detail.get());
    return false;
  }

  /** Returns the number of checks of each invariant by name. */
  public Map<String, Long> checks() {
    Map<String, Long> result = new TreeMap<>();
    counts.forEach((name, count) -> result.put(name, count.checks.sum()));
    return result;
  }

  /** Returns the number of violations of each checked invariant by name. */
  public Map<String, Long> violations() {
    Map<String, Long> result = new TreeMap<>();
    counts.forEach((name, count) -> result.put(name, count.violations.sum()));
    return result;
  }

  private Counts countsOf(String name) {
    Counts count = counts.get(name);
    if (count != null) {
      return count;
    }
    return counts.computeIfAbsent(name, key -> new Counts());
  }
}
