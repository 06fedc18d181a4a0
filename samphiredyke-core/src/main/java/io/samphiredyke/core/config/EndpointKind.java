package io.samphiredyke.core.config;

/** What an endpoint is. */
public enum EndpointKind {
  /** An engine that runs models. */
  MODEL_ENGINE,
  /** A plain service beside the model engines. */
  PLAIN_SERVICE
}
