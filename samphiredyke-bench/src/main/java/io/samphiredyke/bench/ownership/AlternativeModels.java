package io.samphiredyke.bench.ownership;

/** Rule-based models of the two alternative protocols that are not used in production. */
final class AlternativeModels {

  private AlternativeModels() {}

  /**
   * Models intents on the log, where the first record of a request id determines its owner.
   *
   * <p>A retry at another host appends a record and reads the log. If an earlier intent exists, the
   * response is resumed from its endpoint. Otherwise the new host owns the request, and a previous
   * host that resumes after a pause finds that its record is not the first.
   */
  static FaultOutcome runWithLog(OwnershipFault fault, RequestStage stage) {
    boolean isNotDispatched = stage.ordinal() < RequestStage.DISPATCHED.ordinal();
    boolean isStalled = fault == OwnershipFault.LOG_OUTAGE && isNotDispatched;
    boolean isEntryLost =
        fault == OwnershipFault.ENTRY_DIES || fault == OwnershipFault.ENTRY_AND_WITNESS_DIE;
    boolean isRecorded = stage.ordinal() >= RequestStage.INTENT_RECORDED.ordinal();
    boolean isRunning = stage == RequestStage.RUNNING;
    if (isEntryLost) {
      boolean isUnknown = isRecorded && !isRunning;
      return new FaultOutcome(isUnknown ? 0 : 1, isUnknown, false, false);
    }
    if (fault == OwnershipFault.ENTRY_PAUSED) {
      boolean isAcknowledgementPending = stage == RequestStage.INTENT_RECORDED;
      return new FaultOutcome(1, isAcknowledgementPending, false, false);
    }
    if (fault == OwnershipFault.ENDPOINT_DIES) {
      boolean isLost = stage.ordinal() >= RequestStage.DISPATCHED.ordinal();
      return new FaultOutcome(isRunning || !isLost ? 1 : 0, isLost, false, false);
    }
    if (fault == OwnershipFault.ANSWER_LOST) {
      boolean isLost = stage == RequestStage.DISPATCHED;
      return new FaultOutcome(isLost ? 0 : 1, isLost, false, false);
    }
    return new FaultOutcome(1, false, false, isStalled);
  }

  /**
   * Models leases, where the holder of the lease on a hash range owns a request without recording
   * it.
   *
   * <p>The next holder asks every endpoint for the request id, resumes the request if an endpoint
   * knows it, and executes it otherwise.
   */
  static FaultOutcome runWithLease(OwnershipFault fault, RequestStage stage) {
    boolean isRunning = stage == RequestStage.RUNNING;
    boolean isInFlight = stage == RequestStage.DISPATCHED;
    if (fault == OwnershipFault.ENTRY_PAUSED) {
      // The next holder finds no execution and runs the request; the paused holder resumes and
      // dispatches it again.
      return new FaultOutcome(isRunning ? 1 : 2, false, false, false);
    }
    if (fault == OwnershipFault.ENDPOINT_DIES) {
      return new FaultOutcome(isRunning ? 2 : 1, false, false, false);
    }
    boolean isLeaseLost = fault == OwnershipFault.LOG_OUTAGE && stage == RequestStage.QUEUED;
    if (fault == OwnershipFault.ANSWER_LOST && isInFlight) {
      return new FaultOutcome(0, true, false, false);
    }
    return new FaultOutcome(1, false, false, isLeaseLost);
  }
}
