package io.samphiredyke.core.config;

/** Kind of an endpoint. */
public enum EndpointKind {
  /** An engine that runs models. */
  MODEL_ENGINE,
  /** A service that runs no models. */
  PLAIN_SERVICE
}
