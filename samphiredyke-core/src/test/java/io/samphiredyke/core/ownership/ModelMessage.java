package io.samphiredyke.core.ownership;

/**
 * A message between processes. Messages are never taken away: each may arrive at any time, any
 * number of times, in any order, or never.
 */
sealed interface ModelMessage {

  int from();

  int place();

  record Write(int from, int place, RegisterOperation operation) implements ModelMessage {}

  record Read(int from, int place) implements ModelMessage {}

  record Ask(int from, int place) implements ModelMessage {}
}
