package io.samphiredyke.bench.ownership;

/** What becomes of a request under the two ways that are not used, by their rules. */
final class AlternativeModels {

  private AlternativeModels() {}

  /**
   * Intents are records of the log; the first record of an id, by offset, decides who owns it.
   *
   * <p>A retry elsewhere appends a record and reads the log. If an intent is first, the answer is
   * resumed from its endpoint; otherwise the new host owns the request and a host that wakes finds
   * itself second.
   */
  static FaultOutcome runWithLog(OwnershipFault fault, RequestStage moment) {
    boolean isUndispatched = moment.ordinal() < RequestStage.DISPATCHED.ordinal();
    boolean isStalled = fault == OwnershipFault.LOG_OUTAGE && isUndispatched;
    boolean isEntryLost =
        fault == OwnershipFault.ENTRY_DIES || fault == OwnershipFault.ENTRY_AND_WITNESS_DIE;
    boolean isRecorded = moment.ordinal() >= RequestStage.INTENT_RECORDED.ordinal();
    boolean isArrived = moment == RequestStage.RUNNING;
    if (isEntryLost) {
      boolean isUnknown = isRecorded && !isArrived;
      return new FaultOutcome(isUnknown ? 0 : 1, isUnknown, false, false);
    }
    if (fault == OwnershipFault.ENTRY_PAUSED) {
      boolean isAnswerPending = moment == RequestStage.INTENT_RECORDED;
      return new FaultOutcome(1, isAnswerPending, false, false);
    }
    if (fault == OwnershipFault.ENDPOINT_DIES) {
      boolean isLost = moment.ordinal() >= RequestStage.DISPATCHED.ordinal();
      return new FaultOutcome(isArrived || !isLost ? 1 : 0, isLost, false, false);
    }
    if (fault == OwnershipFault.ANSWER_LOST) {
      boolean isLost = moment == RequestStage.DISPATCHED;
      return new FaultOutcome(isLost ? 0 : 1, isLost, false, false);
    }
    return new FaultOutcome(1, false, false, isStalled);
  }

  /**
   * The holder of a lease on the hash range owns the request and records nothing for it.
   *
   * <p>The next holder asks every endpoint for the id, resumes where it is found, and runs it where
   * it is not.
   */
  static FaultOutcome runWithLease(OwnershipFault fault, RequestStage moment) {
    boolean isArrived = moment == RequestStage.RUNNING;
    boolean isOnTheWay = moment == RequestStage.DISPATCHED;
    if (fault == OwnershipFault.ENTRY_PAUSED) {
      // The next holder finds nothing and runs it; the paused one wakes and sends its own.
      return new FaultOutcome(isArrived ? 1 : 2, false, false, false);
    }
    if (fault == OwnershipFault.ENDPOINT_DIES) {
      return new FaultOutcome(isArrived ? 2 : 1, false, false, false);
    }
    boolean isLeaseLost = fault == OwnershipFault.LOG_OUTAGE && moment == RequestStage.QUEUED;
    if (fault == OwnershipFault.ANSWER_LOST && isOnTheWay) {
      return new FaultOutcome(0, true, false, false);
    }
    return new FaultOutcome(1, false, false, isLeaseLost);
  }
}
