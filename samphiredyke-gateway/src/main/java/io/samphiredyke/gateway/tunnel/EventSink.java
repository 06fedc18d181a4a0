package io.samphiredyke.gateway.tunnel;

import org.jspecify.annotations.Nullable;

/** Receives the decisions on paths and tunnels, for the log. */
@FunctionalInterface
public interface EventSink {

  /**
   * Called for each decision.
   *
   * @param event name of the decision
   * @param fields alternating names and values
   */
  void event(String event, @Nullable Object... fields);
}
