package io.samphiredyke.gateway.log;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.OutputStream;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.LongSupplier;
import org.jspecify.annotations.Nullable;

/**
 * Structured log with one JSON line for each decision.
 *
 * <p>Lines are queued for a writer thread. If the bounded queue is full or the rate limit is
 * exceeded, lines are dropped and counted, so that logging never blocks. Lines that each request
 * has and all others are limited separately, so that a busy host still reports which requests it
 * refused, repeated or failed. A line tells how many were dropped since the last one that does.
 */
public final class DecisionLog implements AutoCloseable {

  /** Queue capacity in lines, about 1 MB. */
  private static final int QUEUE_LINES = 4_096;

  /** Rate limit of lines that each request has; a host serves a few dozen requests per second. */
  private static final int ROUTINE_LINES_PER_SECOND = 500;

  /** Rate limit of all others; callers that retry without a pause are refused more often. */
  private static final int OTHER_LINES_PER_SECOND = 2_000;

  /** Events that each request has. */
  private static final Set<String> ROUTINE_EVENTS = Set.of("sent", "answered");

  private static final long SECOND_MILLIS = 1_000;

  /** Maximum time for which closing waits for the remaining lines. */
  private static final long CLOSE_MILLIS = 200;

  private final JsonFactory json = new JsonFactory();
  private final BlockingQueue<String> queue = new ArrayBlockingQueue<>(QUEUE_LINES);
  private final LongAdder dropped = new LongAdder();
  private final LongSupplier clock;
  private final OutputStream out;
  private final Thread writer;
  private volatile boolean closing;
  private long currentSecond;
  private int routineLinesInSecond;
  private int otherLinesInSecond;
  private long reportedAsDropped;

  /**
   * Creates a log and starts its writer thread.
   *
   * @param clock wall clock in milliseconds since the epoch
   */
  public DecisionLog(OutputStream out, LongSupplier clock) {
    this.out = out;
    this.clock = clock;
    this.writer = new Thread(this::write, "log");
    writer.setDaemon(true);
    writer.start();
  }

  /**
   * Logs an event.
   *
   * @param event name of the event
   * @param fields alternating names and values; values are numbers, booleans or strings
   */
  public void event(String event, @Nullable Object... fields) {
    long now = clock.getAsLong();
    if (now / SECOND_MILLIS != currentSecond) {
      currentSecond = now / SECOND_MILLIS;
      routineLinesInSecond = 0;
      otherLinesInSecond = 0;
      reportDropped(now);
    }
    if (exceedsLimit(event) || !queue.offer(line(now, event, fields))) {
      dropped.increment();
    }
  }

  /** Logs the failure of an action of the control loop, with the place where it occurred. */
  public void actionFailed(Throwable failure) {
    StackTraceElement[] trace = failure.getStackTrace();
    String place = trace.length == 0 ? "" : trace[0].toString();
    event("action_failed", "reason", failure.toString(), "at", place);
  }

  private boolean exceedsLimit(String event) {
    return ROUTINE_EVENTS.contains(event)
        ? ++routineLinesInSecond > ROUTINE_LINES_PER_SECOND
        : ++otherLinesInSecond > OTHER_LINES_PER_SECOND;
  }

  private void reportDropped(long now) {
    long total = dropped();
    Object[] fields = {"lines", total - reportedAsDropped};
    if (total > reportedAsDropped && queue.offer(line(now, "log_dropped", fields))) {
      reportedAsDropped = total;
    }
  }

  /** Returns the number of dropped lines. */
  public long dropped() {
    return dropped.sum();
  }

  private String line(long now, String event, @Nullable Object[] fields) {
    StringWriter text = new StringWriter();
    try (JsonGenerator generator = json.createGenerator(text)) {
      generator.writeStartObject();
      generator.writeNumberField("ts", now);
      generator.writeStringField("event", event);
      for (int i = 0; i + 1 < fields.length; i += 2) {
        writeField(generator, String.valueOf(fields[i]), fields[i + 1]);
      }
      generator.writeEndObject();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return text.append('\n').toString();
  }

  private static void writeField(JsonGenerator generator, String name, @Nullable Object value)
      throws IOException {
    generator.writeFieldName(name);
    if (value instanceof Long || value instanceof Integer) {
      generator.writeNumber(((Number) value).longValue());
    } else if (value instanceof Double number) {
      generator.writeNumber(Math.round(number * 100) / 100.0);
    } else if (value instanceof Boolean flag) {
      generator.writeBoolean(flag);
    } else {
      generator.writeString(String.valueOf(value));
    }
  }

  private void write() {
    try {
      while (!closing || !queue.isEmpty()) {
        writeBatch(queue.take());
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (IOException e) {
      // The output was closed. Requests are still served, and further lines count as dropped.
      dropped.increment();
    }
  }

  private void writeBatch(String first) throws IOException {
    StringBuilder batch = new StringBuilder(first);
    String next = queue.poll();
    while (next != null) {
      batch.append(next);
      next = queue.poll();
    }
    out.write(batch.toString().getBytes(StandardCharsets.UTF_8));
    out.flush();
  }

  /** Writes the queued lines and stops the writer thread. */
  @Override
  public void close() {
    closing = true;
    queue.offer(""); // Wakes up the writer thread.
    try {
      writer.join(CLOSE_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
