package io.samphiredyke.bench.ownership;

/** Fault injected at a random stage of a request. */
enum OwnershipFault {
  NONE("none"),
  ENTRY_DIES("entry dies"),
  ENTRY_AND_WITNESS_DIE("entry and witness die"),
  ENTRY_PAUSED("entry paused beyond any timeout, then wakes"),
  ENTRY_CUT_FROM_WITNESS("cut between entry and witness"),
  LOG_OUTAGE("log outage"),
  ENDPOINT_DIES("endpoint dies mid-stream"),
  ANSWER_LOST("answer lost after it ran");

  private final String title;

  OwnershipFault(String title) {
    this.title = title;
  }

  /** Returns whether the fault breaks the connection to the endpoint, including data in flight. */
  boolean breaksEndpointConnection() {
    return switch (this) {
      case ENTRY_DIES, ENTRY_AND_WITNESS_DIE, ENDPOINT_DIES, ANSWER_LOST -> true;
      case NONE, ENTRY_PAUSED, ENTRY_CUT_FROM_WITNESS, LOG_OUTAGE -> false;
    };
  }

  String title() {
    return title;
  }
}
