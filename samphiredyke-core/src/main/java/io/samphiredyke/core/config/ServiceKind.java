package io.samphiredyke.core.config;

/** Kind of a service, by the endpoints that serve it. */
public enum ServiceKind {
  /** Served by a model on model engines. */
  MODEL,
  /** Served by plain services, which run no models. */
  PLAIN
}
