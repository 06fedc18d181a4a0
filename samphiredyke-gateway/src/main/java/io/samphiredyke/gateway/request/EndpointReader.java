package io.samphiredyke.gateway.request;

import java.util.function.Consumer;

/** Reads the present endpoints, for decisions that outdated ones must not enter. */
@FunctionalInterface
public interface EndpointReader {

  /**
   * Reads the endpoints.
   *
   * @param listener receives whether they were read, by a read that began after this call
   */
  void read(Consumer<Boolean> listener);
}
