package io.samphiredyke.gateway.tunnel;

import io.samphiredyke.core.serving.EndpointRecord;
import org.jspecify.annotations.Nullable;

/** Finds the endpoints that accept requests. */
@FunctionalInterface
public interface EndpointLookup {

  /** Returns the endpoint with an id, or null. */
  @Nullable EndpointRecord find(String id);
}
