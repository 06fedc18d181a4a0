package io.samphiredyke.gateway.request;

import io.samphiredyke.core.serving.Route;

/** Counts the attempts of a request and decides whether another one is permitted. */
final class AttemptCounter {

  /** Attempts that did not run the request, after which the caller is told to retry later. */
  private static final int MAX_NOT_RUN = 3;

  private final Route route;
  private int possibleExecutions;
  private int notRun;
  private boolean reachedEndpoint;

  AttemptCounter(Route route) {
    this.route = route;
  }

  /** Counts an attempt that may have run the request. */
  void possiblyRun() {
    possibleExecutions++;
    reachedEndpoint = true;
  }

  /** Counts an attempt that an endpoint refused without running the request. */
  void refused() {
    notRun++;
    reachedEndpoint = true;
  }

  /** Counts an attempt for which no connection could be established. */
  void unreachable() {
    notRun++;
  }

  /** Returns how many endpoints may have run the request. */
  int possibleExecutions() {
    return possibleExecutions;
  }

  boolean mayHaveRun() {
    return possibleExecutions > 0;
  }

  /** Returns whether the request has reached an endpoint, so that another attempt is a retry. */
  boolean reachedEndpoint() {
    return reachedEndpoint;
  }

  /** Returns the number of the next attempt, from 1 on. */
  int next() {
    return possibleExecutions + notRun + 1;
  }

  /** Returns whether another endpoint may run the request after those that may have run it. */
  boolean mayRunAgain() {
    return route.kind().isRetryable() && possibleExecutions < route.maxAttempts();
  }

  /** Returns whether another endpoint may run the request if the current one fails. */
  boolean mayRetryAfterCurrent() {
    return route.kind().isRetryable() && possibleExecutions + 1 < route.maxAttempts();
  }

  /** Returns whether another endpoint may be tried after those that did not run the request. */
  boolean mayTryAgain() {
    return notRun < MAX_NOT_RUN;
  }
}
