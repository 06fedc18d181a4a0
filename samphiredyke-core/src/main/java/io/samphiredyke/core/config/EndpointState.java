package io.samphiredyke.core.config;

/** Whether an endpoint accepts new requests. */
public enum EndpointState {
  /** Accepts new requests. */
  ACTIVE,
  /** Draining: accepts no new requests; those in flight run to their end. */
  LEAVING
}
