package io.samphiredyke.core.config;

/** What answers the requests of a service. */
public enum ServiceKind {
  /** A model on a model engine. */
  MODEL,
  /** A plain service. */
  PLAIN
}
