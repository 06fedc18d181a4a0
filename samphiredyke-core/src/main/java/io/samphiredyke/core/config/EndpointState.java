package io.samphiredyke.core.config;

/** Whether an endpoint takes new work. */
public enum EndpointState {
  /** Takes new work. */
  ACTIVE,
  /** Takes no new work; what is in flight runs to its end. */
  LEAVING
}
