package io.samphiredyke.core.pool;

/** Whether a requester reaches the endpoints of a service, by how its requests ended. */
enum RequesterPath {
  /** It failed at no endpoint, or at one only, or no other requester does better. */
  SOUND,
  /** It has failed at several endpoints in a row while others are served. */
  DOUBTFUL,
  /** It fails wherever it is sent while others are served. */
  LOST
}
