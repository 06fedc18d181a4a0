package io.samphiredyke.standins.log;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayDeque;
import java.util.List;

/** An append-only record stream with limited retention. Not thread-safe. */
public final class LogStream {

  private final LogOptions options;
  private final ArrayDeque<LogRecord> records = new ArrayDeque<>();
  private long first;
  private long next;

  /** Creates an empty stream whose first offset is 0. */
  public LogStream(LogOptions options) {
    this.options = options;
  }

  /**
   * Appends a value.
   *
   * @param epochMillis the current time, milliseconds since the epoch
   * @return the offset of the value
   */
  public long append(JsonNode value, long epochMillis) {
    long offset = next;
    records.addLast(new LogRecord(offset, epochMillis, value));
    next++;
    expire(epochMillis);
    return offset;
  }

  /**
   * Reads records starting at an offset. For an offset beyond the end, the page is empty and its
   * next offset is the end of the stream.
   *
   * @throws OffsetExpiredException if the offset is no longer retained
   */
  public LogPage read(long from, int max, long epochMillis) {
    expire(epochMillis);
    if (from < first) {
      throw new OffsetExpiredException(first);
    }
    List<LogRecord> page = records.stream().skip(Math.min(from, next) - first).limit(max).toList();
    return new LogPage(first, Math.min(from, next) + page.size(), page);
  }

  /** Returns the oldest retained offset. */
  public long first() {
    return first;
  }

  /** Returns the offset of the next record to be appended. */
  public long next() {
    return next;
  }

  private void expire(long epochMillis) {
    long oldestTime = epochMillis - options.retentionTime().toMillis();
    while (!records.isEmpty()) {
      boolean tooMany = records.size() > options.retentionRecords();
      if (!tooMany && records.getFirst().time() >= oldestTime) {
        return;
      }
      records.removeFirst();
      first++;
    }
  }
}
