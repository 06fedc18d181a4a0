package io.samphiredyke.core.routing;

import io.samphiredyke.core.broker.RefusalReason;
import io.samphiredyke.core.broker.SlotRequest;
import io.samphiredyke.core.broker.SlotRequestKey;
import java.util.List;

/** Action that the driver of a {@link SlotRequestSet} must carry out. */
public sealed interface SlotRequestAction {

  /**
   * Send a slot request to the endpoint's broker.
   *
   * @param request the slot request
   */
  record Send(SlotRequest request) implements SlotRequestAction {}

  /**
   * Withdraw a slot request, or release its grant as unused.
   *
   * @param endpoint name of the endpoint
   * @param key key of the slot request
   */
  record Withdraw(String endpoint, SlotRequestKey key) implements SlotRequestAction {}

  /**
   * Dispatch the caller's request to the endpoint that granted a slot.
   *
   * @param request the granted slot request
   */
  record Dispatch(SlotRequest request) implements SlotRequestAction {}

  /**
   * Shed the request: respond to the caller that it was not run.
   *
   * @param reasons the last refusal of each endpoint
   * @param retryAfterNanos time after which the caller may try again
   */
  record Shed(List<RefusalReason> reasons, long retryAfterNanos) implements SlotRequestAction {

    /** Copies the list. */
    public Shed {
      reasons = List.copyOf(reasons);
    }

    /** Returns whether all refusals were caused by load. */
    public boolean isCausedByLoad() {
      return !reasons.isEmpty() && reasons.stream().allMatch(RefusalReason::isCausedByLoad);
    }
  }
}
