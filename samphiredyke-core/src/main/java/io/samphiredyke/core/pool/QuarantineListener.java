package io.samphiredyke.core.pool;

/** Receives the decisions of a {@link PoolScheduler} on prompt parts. */
public interface QuarantineListener {

  /** A prompt part was found to crash endpoints of a service, or a probe of it crashed one. */
  void quarantined(String service, long partId, PartQuarantine.Entry entry);

  /** A prompt part is no longer quarantined, because an endpoint served a request with it. */
  void released(long partId);
}
