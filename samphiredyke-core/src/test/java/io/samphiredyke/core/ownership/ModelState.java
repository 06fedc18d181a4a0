package io.samphiredyke.core.ownership;

import java.util.Arrays;

/**
 * One global state of the model, stored as indexes that {@link OwnershipModel} assigns to the
 * states of state machines, records and messages.
 */
final class ModelState {

  static final int NODES = 4;
  static final int REGISTER_OFFSET = NODES;
  static final int FLAGS = REGISTER_OFFSET + Ticket.MAX_CHAIN_MEMBERS;
  static final int PENDING = FLAGS + 1;
  static final int EXECUTED = PENDING + 1;
  static final int MESSAGE_WORDS = 3;
  static final int MESSAGES = EXECUTED + 1;

  private static final int WORD_BITS = 32;

  final int[] words;

  ModelState() {
    this.words = new int[MESSAGES + MESSAGE_WORDS];
  }

  private ModelState(int[] words) {
    this.words = words;
  }

  ModelState copy() {
    return new ModelState(words.clone());
  }

  boolean hasFlag(int flag) {
    return (words[FLAGS] & flag) != 0;
  }

  void addFlag(int flag) {
    words[FLAGS] |= flag;
  }

  boolean hasMessage(int message) {
    return (words[MESSAGES + message / WORD_BITS] & (1 << (message % WORD_BITS))) != 0;
  }

  void addMessage(int message) {
    if (message >= MESSAGE_WORDS * WORD_BITS) {
      throw new IllegalStateException("too many distinct messages");
    }
    words[MESSAGES + message / WORD_BITS] |= 1 << (message % WORD_BITS);
  }

  int dispatches() {
    return Integer.bitCount(words[PENDING] | words[EXECUTED]);
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof ModelState state && Arrays.equals(words, state.words);
  }

  @Override
  public int hashCode() {
    int hash = 0;
    for (int word : words) {
      hash = (hash ^ word) * 0x9E3779B1;
      hash ^= hash >>> 15;
    }
    return hash;
  }
}
