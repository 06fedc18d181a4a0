package io.samphiredyke.core.ownership;

/**
 * Message between processes. Messages are never removed from the network: each may arrive at any
 * time, any number of times, in any order, or never.
 */
sealed interface ModelMessage {

  int from();

  int position();

  record Write(int from, int position, RegisterOperation operation) implements ModelMessage {}

  record Read(int from, int position) implements ModelMessage {}

  record StateQuery(int from, int position) implements ModelMessage {}
}
