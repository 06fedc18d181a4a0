package io.samphiredyke.bench.capacity;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.lang.ref.Reference;
import java.util.ArrayList;
import java.util.List;
import java.util.function.IntConsumer;
import java.util.function.IntFunction;

/**
 * Measures heap and processor time in this process.
 *
 * <p>Heap is the memory in use after garbage collection, divided by the number of objects. Time is
 * the processor time of the calling thread, which excludes other load on the machine except for its
 * effect on caches.
 */
final class CostMeter {

  /** The serial collector leaves some garbage in place in three out of four collections. */
  private static final int GC_RUNS = 4;

  private static final double NANOS_PER_MICRO = 1_000;

  private final ThreadMXBean threads = ManagementFactory.getThreadMXBean();
  private final List<UnitCost> costs = new ArrayList<>();

  List<UnitCost> costs() {
    return List.copyOf(costs);
  }

  void add(UnitCost cost) {
    costs.add(cost);
  }

  /** Measures the retained heap per object. */
  void measureHeap(String name, int count, IntFunction<Object> factory) {
    measureHeap(name, count, 1, factory);
  }

  /** Measures the retained heap per part of objects that each hold the given number of parts. */
  void measureHeap(String name, int count, int parts, IntFunction<Object> factory) {
    Object[] kept = new Object[count];
    long before = usedHeap();
    for (int i = 0; i < count; i++) {
      kept[i] = factory.apply(i);
    }
    long after = usedHeap();
    Reference.reachabilityFence(kept);
    addHeap(name, (long) count * parts, after - before);
  }

  void addHeap(String name, long count, long bytes) {
    add(new UnitCost(name, (double) bytes / count, UnitCost.BYTES_OF_HEAP, count));
  }

  /** Measures the processor time of an operation after the same number of warm-up runs. */
  void measureTime(String name, int count, IntConsumer operation) {
    for (int i = 0; i < count; i++) {
      operation.accept(i);
    }
    long start = cpuNanos();
    for (int i = count; i < 2 * count; i++) {
      operation.accept(i);
    }
    addTime(name, count, cpuNanos() - start);
  }

  void addTime(String name, long count, long nanos) {
    add(new UnitCost(name, nanos / NANOS_PER_MICRO / count, UnitCost.MICROSECONDS, count));
  }

  long cpuNanos() {
    return threads.getCurrentThreadCpuTime();
  }

  long usedHeap() {
    for (int i = 0; i < GC_RUNS; i++) {
      System.gc();
    }
    Runtime runtime = Runtime.getRuntime();
    return runtime.totalMemory() - runtime.freeMemory();
  }
}
