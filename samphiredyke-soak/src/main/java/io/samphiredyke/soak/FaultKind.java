package io.samphiredyke.soak;

/** What can happen to the processes, links and records of a run. */
enum FaultKind {
  /** SIGTERM to a host, and a new start once it has ended. */
  STOP_HOST,
  /** SIGKILL to a host, and a new start. */
  KILL_HOST,
  /** SIGKILL to all hosts at once. */
  KILL_ALL_HOSTS,
  /** A host stands still. */
  PAUSE_HOST,
  /** SIGHUP to a host. */
  HANG_UP_HOST,
  /** All hosts are stopped and started in turn. */
  ROLL_HOSTS,
  /** The way of callers to a host is harmed. */
  HARM_CALLERS_LINK,
  /** The way of a host to the store is harmed. */
  HARM_STORE_LINK,
  /** The way of all hosts to an endpoint is harmed. */
  HARM_ENDPOINT_LINK,
  /** The open connections of a link are reset. */
  RESET_LINK,
  /** The store refuses all calls. */
  STORE_BUSY,
  /** The store carries writes out and answers none. */
  STORE_LOSES_ANSWERS,
  /** The store stands still. */
  STORE_PAUSED,
  /** The store forgets its history. */
  STORE_COMPACTED,
  /** An endpoint is killed, and another one takes its address some seconds later. */
  KILL_ENDPOINT,
  /** An endpoint stands still. */
  PAUSE_ENDPOINT,
  /** An endpoint leaves as planned, and another one comes. */
  DRAIN_ENDPOINT,
  /** An endpoint mishandles part of its requests. */
  HARM_ENDPOINT,
  /** A new configuration adds a route. */
  ADD_ROUTE,
  /** A new configuration takes a key away. */
  REVOKE_KEY
}
