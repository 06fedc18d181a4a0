package io.samphiredyke.core.routing;

import io.samphiredyke.core.broker.Claim;
import io.samphiredyke.core.broker.ClaimKey;
import io.samphiredyke.core.broker.RefusalReason;
import java.util.List;

/** What an entry must do next for a request. */
public sealed interface ClaimAction {

  /**
   * Send a claim to the endpoint's broker.
   *
   * @param claim the claim
   */
  record Send(Claim claim) implements ClaimAction {}

  /**
   * Withdraw a claim, or release its grant as unused.
   *
   * @param endpoint name of the endpoint
   * @param key the claim
   */
  record Withdraw(String endpoint, ClaimKey key) implements ClaimAction {}

  /**
   * Dispatch the request under a granted claim.
   *
   * @param claim the claim
   */
  record Bind(Claim claim) implements ClaimAction {}

  /**
   * Answer the caller that the request was not run.
   *
   * @param reasons the last refusal of each endpoint
   * @param retryAfterNanos time after which the caller may try again
   */
  record Shed(List<RefusalReason> reasons, long retryAfterNanos) implements ClaimAction {

    /** Copies the list. */
    public Shed {
      reasons = List.copyOf(reasons);
    }

    /** Returns whether the request was refused for load alone. */
    public boolean isPressure() {
      return !reasons.isEmpty() && reasons.stream().allMatch(RefusalReason::isPressure);
    }
  }
}
