package io.samphiredyke.core.routing;

import io.samphiredyke.core.broker.RefusalReason;
import io.samphiredyke.core.broker.SlotRequest;
import io.samphiredyke.core.broker.SlotRequestKey;
import java.util.List;

/** What an entry must do next for a request. */
public sealed interface SlotRequestAction {

  /**
   * Send a claim to the endpoint's broker.
   *
   * @param request the claim
   */
  record Send(SlotRequest request) implements SlotRequestAction {}

  /**
   * Withdraw a claim, or release its grant as unused.
   *
   * @param endpoint name of the endpoint
   * @param key the claim
   */
  record Withdraw(String endpoint, SlotRequestKey key) implements SlotRequestAction {}

  /**
   * Dispatch the request under a granted claim.
   *
   * @param request the claim
   */
  record Dispatch(SlotRequest request) implements SlotRequestAction {}

  /**
   * Answer the caller that the request was not run.
   *
   * @param reasons the last refusal of each endpoint
   * @param retryAfterNanos time after which the caller may try again
   */
  record Shed(List<RefusalReason> reasons, long retryAfterNanos) implements SlotRequestAction {

    /** Copies the list. */
    public Shed {
      reasons = List.copyOf(reasons);
    }

    /** Returns whether the request was refused for load alone. */
    public boolean isCausedByLoad() {
      return !reasons.isEmpty() && reasons.stream().allMatch(RefusalReason::isCausedByLoad);
    }
  }
}
