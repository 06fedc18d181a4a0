package io.samphiredyke.gateway.scheduling;

import io.samphiredyke.core.pool.PartQuarantine;
import io.samphiredyke.core.pool.PoolScheduler;
import io.samphiredyke.core.pool.QuarantineListener;
import io.samphiredyke.gateway.log.DecisionLog;
import io.samphiredyke.net.control.ControlEventLoop;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Informs all hosts of prompt parts that the scheduler of this host found to crash endpoints, as
 * any of them may have to schedule, and hands these parts to the store for hosts that start later.
 */
public final class PromptQuarantine implements QuarantineListener {

  /** Stores a part for hosts that start later. */
  public interface Archive {

    /** Stores a quarantined part. */
    void put(long partId, PartQuarantine.Entry entry);

    /** Removes a part that is no longer quarantined. */
    void remove(long partId);
  }

  private static final Archive NO_ARCHIVE =
      new Archive() {
        @Override
        public void put(long partId, PartQuarantine.Entry entry) {}

        @Override
        public void remove(long partId) {}
      };

  private final ControlEventLoop loop;
  private final PoolScheduler scheduler;
  private final Consumer<SchedulingMessage> broadcast;
  private final DecisionLog log;
  private Archive archive = NO_ARCHIVE;

  /**
   * Creates an instance without an archive.
   *
   * @param scheduler scheduler of this host
   * @param broadcast sends a message to all other hosts
   */
  PromptQuarantine(
      ControlEventLoop loop,
      PoolScheduler scheduler,
      Consumer<SchedulingMessage> broadcast,
      DecisionLog log) {
    this.loop = loop;
    this.scheduler = scheduler;
    this.broadcast = broadcast;
    this.log = log;
  }

  /** Sets where parts are stored for hosts that start later. */
  public void setArchive(Archive value) {
    archive = value;
  }

  @Override
  public void quarantined(String service, long partId, PartQuarantine.Entry entry) {
    logEntry(partId, entry, service);
    broadcast.accept(
        new SchedulingMessage.PartQuarantined(partId, entry.strikes(), remainingMillis(entry)));
    archive.put(partId, entry);
  }

  @Override
  public void released(long partId) {
    log.event("prompt_released", "part", Long.toHexString(partId), "source", "served");
    broadcast.accept(new SchedulingMessage.PartQuarantined(partId, 0, 0));
    archive.remove(partId);
  }

  /** Handles the message of another host. */
  void received(String from, SchedulingMessage.PartQuarantined message) {
    if (message.strikes() > 0) {
      add(message.partId(), message.strikes(), message.remainingMillis(), from);
    } else if (scheduler.quarantine().release(message.partId())) {
      log.event("prompt_released", "part", Long.toHexString(message.partId()), "source", from);
    }
  }

  /**
   * Adds a part that another host quarantined.
   *
   * @param source the host, or where the part was read, for the log
   */
  public void add(long partId, int strikes, long remainingMillis, String source) {
    long now = loop.nanoTime();
    long until = now + TimeUnit.MILLISECONDS.toNanos(remainingMillis);
    PartQuarantine.Entry entry = new PartQuarantine.Entry(strikes, until, false);
    if (scheduler.quarantine().add(partId, entry)) {
      logEntry(partId, entry, source);
      scheduler.refuseQuarantined(now);
    }
  }

  private long remainingMillis(PartQuarantine.Entry entry) {
    return TimeUnit.NANOSECONDS.toMillis(entry.until() - loop.nanoTime());
  }

  private void logEntry(long partId, PartQuarantine.Entry entry, String source) {
    log.event(
        "prompt_quarantined",
        "part",
        Long.toHexString(partId),
        "strikes",
        entry.strikes(),
        "millis",
        remainingMillis(entry),
        "source",
        source);
  }
}
