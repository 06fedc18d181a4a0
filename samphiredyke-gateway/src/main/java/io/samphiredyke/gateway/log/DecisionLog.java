package io.samphiredyke.gateway.log;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.OutputStream;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.LongSupplier;
import org.jspecify.annotations.Nullable;

/**
 * Writes one JSON line for each decision.
 *
 * <p>Lines wait in a bounded queue for a writer thread. When the queue is full, or more lines come
 * in a second than allowed, lines are dropped and counted; the caller never waits.
 */
public final class DecisionLog implements AutoCloseable {

  /** Lines that may wait for the writer, about 1 MB. */
  private static final int QUEUE_LINES = 4_096;

  /** Lines a second; a host serves a few dozen requests a second with two or three lines each. */
  private static final int LINES_PER_SECOND = 500;

  private static final long SECOND_MILLIS = 1_000;

  /** How long the end of the process waits for the last lines, milliseconds. */
  private static final long CLOSE_MILLIS = 200;

  private final JsonFactory json = new JsonFactory();
  private final BlockingQueue<String> queue = new ArrayBlockingQueue<>(QUEUE_LINES);
  private final LongAdder dropped = new LongAdder();
  private final LongSupplier clock;
  private final OutputStream out;
  private final Thread writer;
  private volatile boolean closing;
  private long currentSecond;
  private int linesInSecond;

  /**
   * Starts the writer.
   *
   * @param wallMillis time of day, milliseconds since the epoch
   */
  public DecisionLog(OutputStream out, LongSupplier wallMillis) {
    this.out = out;
    this.clock = wallMillis;
    this.writer = new Thread(this::write, "log");
    writer.setDaemon(true);
    writer.start();
  }

  /**
   * Writes a line.
   *
   * @param event name of the decision
   * @param fields names and values in turn; values are texts, numbers or flags
   */
  public void event(String event, @Nullable Object... fields) {
    long now = clock.getAsLong();
    if (now / SECOND_MILLIS != currentSecond) {
      currentSecond = now / SECOND_MILLIS;
      linesInSecond = 0;
    }
    linesInSecond++;
    if (linesInSecond > LINES_PER_SECOND || !queue.offer(line(now, event, fields))) {
      dropped.increment();
    }
  }

  /** Returns how many lines were dropped. */
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
      // Nobody reads the output any more; serving goes on and lines count as dropped.
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

  /** Writes what waits and stops the writer. */
  @Override
  public void close() {
    closing = true;
    queue.offer(""); // wakes the writer
    try {
      writer.join(CLOSE_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
