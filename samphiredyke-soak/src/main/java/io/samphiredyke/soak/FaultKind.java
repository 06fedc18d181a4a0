package io.samphiredyke.soak;

/** Kinds of faults that are injected into the processes, links and records of a run. */
enum FaultKind {
  /** Sends SIGTERM to a host and restarts it after its exit. */
  STOP_HOST,
  /** Kills a host with SIGKILL and restarts it. */
  KILL_HOST,
  /** Kills all hosts at once with SIGKILL and restarts them. */
  KILL_ALL_HOSTS,
  /** Suspends a host. */
  PAUSE_HOST,
  /** Sends SIGHUP to a host. */
  HANG_UP_HOST,
  /** Stops and restarts all hosts, one after the other. */
  ROLL_HOSTS,
  /** Degrades the link from callers to a host. */
  HARM_CALLERS_LINK,
  /** Degrades the link from a host to the store. */
  HARM_STORE_LINK,
  /** Degrades the link from all hosts to an endpoint. */
  HARM_ENDPOINT_LINK,
  /** Resets the open connections of a link. */
  RESET_LINK,
  /** The store rejects all calls. */
  STORE_BUSY,
  /** The store executes writes but doesn't respond to them. */
  STORE_LOSES_ANSWERS,
  /** Suspends the store. */
  STORE_PAUSED,
  /** Compacts the store, which discards its history. */
  STORE_COMPACTED,
  /** Kills an endpoint; another one reuses its address some seconds later. */
  KILL_ENDPOINT,
  /** Suspends an endpoint. */
  PAUSE_ENDPOINT,
  /** Drains an endpoint and replaces it by another one. */
  DRAIN_ENDPOINT,
  /** Makes an endpoint mishandle a fraction of its requests. */
  HARM_ENDPOINT,
  /** Writes a configuration that adds a route. */
  ADD_ROUTE,
  /** Writes a configuration in which a new key replaces the latest one. */
  REVOKE_KEY,
  /**
   * Silences the open connections of all hosts to the store, while new ones work, and writes a
   * configuration.
   */
  SILENCE_STORE_LINKS,
  /** Silences the open connections of a link, while new ones work. */
  SILENCE_LINK,
  /** Restores the store from an older copy; the operator writes its configuration again. */
  RESTORE_STORE,
  /** An endpoint states in its responses that it stops, and does so some seconds later. */
  STATE_LEAVING,
  /** An endpoint refuses a fraction of its requests and states for how long it wants none. */
  STATE_PAUSE,
  /** An endpoint states how many requests per second it accepts. */
  STATE_LIMIT;

  /**
   * Number of kinds from which the bursts of a plan are drawn. Later kinds are drawn separately, so
   * that the bursts of a seed stay the same.
   */
  static final int BURST_KINDS = SILENCE_STORE_LINKS.ordinal();
}
