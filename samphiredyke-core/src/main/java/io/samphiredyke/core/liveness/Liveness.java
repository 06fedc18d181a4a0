package io.samphiredyke.core.liveness;

/** Whether the process of an endpoint still runs. */
public enum Liveness {
  /** It responded, or holds connections open that its end would have closed. */
  ALIVE,
  /** It has ended. */
  GONE,
  /** Nothing shows either. */
  UNKNOWN
}
