package io.samphiredyke.core.pool;

import io.samphiredyke.core.serving.EndpointRecord;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Keeps requests that crash endpoints away from the endpoints of a service.
 *
 * <p>Load pattern: requests with a certain prompt part crash every endpoint that begins to respond,
 * and come from many callers, so that endpoints end one after the other.
 */
final class CrashGuard {

  private static final long NANOS_PER_MILLI = 1_000_000;

  private final String service;
  private final Factory shared;
  private final PartQuarantine quarantine;
  private final CrashEvidence evidence = new CrashEvidence();

  private CrashGuard(String service, Factory shared) {
    this.service = service;
    this.shared = shared;
    this.quarantine = shared.quarantine;
  }

  /** Creates the guards of services, which share the quarantined parts and their listener. */
  static final class Factory {

    private final PartQuarantine quarantine;
    private QuarantineListener listener =
        new QuarantineListener() {
          @Override
          public void quarantined(String service, long partId, PartQuarantine.Entry entry) {}

          @Override
          public void released(long partId) {}
        };

    Factory(PartQuarantine quarantine) {
      this.quarantine = quarantine;
    }

    void setListener(QuarantineListener value) {
      listener = value;
    }

    CrashGuard create(String service) {
      return new CrashGuard(service, this);
    }
  }

  /** Returns the refusal of an arriving request if its prompt is quarantined, or null. */
  @Nullable SlotRefusal refusalOfArriving(SlotRequest request, long now) {
    return quarantine.admit(request.estimate().parts(), now) ? null : refusal(request, now);
  }

  /** Returns the refusal of a waiting request if its prompt is quarantined, or null. */
  @Nullable SlotRefusal refusalOfWaiting(SlotRequest request, long now) {
    long remaining = quarantine.remainingNanos(request.estimate().parts(), now);
    return remaining > 0 ? refusal(request, now) : null;
  }

  private SlotRefusal refusal(SlotRequest request, long now) {
    long retryAfter = quarantine.retryAfterNanos(request.estimate().parts(), now);
    return new SlotRefusal(SlotRefusal.Reason.PROMPT_QUARANTINED, retryAfter / NANOS_PER_MILLI);
  }

  /**
   * Learns from the end of a request.
   *
   * @return whether a part was quarantined
   */
  boolean ended(SlotRequest request, EndpointRecord endpoint, Outcome outcome, long now) {
    List<PromptPart> parts = request.estimate().parts();
    if (outcome == Outcome.SERVED) {
      served(parts);
      return false;
    }
    return outcome == Outcome.BROKEN_OFF
        && brokenOff(parts, endpoint.id() + "@" + endpoint.startedAtMillis(), now);
  }

  private void served(List<PromptPart> parts) {
    evidence.served(parts);
    if (quarantine.contains(parts)) {
      for (PromptPart part : parts) {
        if (quarantine.release(part.id())) {
          shared.listener.released(part.id());
        }
      }
    }
  }

  private boolean brokenOff(List<PromptPart> parts, String instance, long now) {
    if (quarantine.contains(parts)) {
      return confirm(parts, instance, now);
    }
    List<Long> found = evidence.brokenOff(instance, parts);
    for (long partId : found) {
      shared.listener.quarantined(service, partId, quarantine.strike(partId, now));
    }
    return !found.isEmpty();
  }

  /**
   * Accounts for the crash of a request that was under way when its part was quarantined, or of a
   * probe, which extends the quarantine.
   */
  private boolean confirm(List<PromptPart> parts, String instance, long now) {
    boolean extended = false;
    for (PromptPart part : parts) {
      PartQuarantine.Entry entry = quarantine.find(part.id());
      if (entry == null) {
        continue;
      }
      evidence.explainedBy(part.id(), instance);
      if (entry.isProbing()) {
        shared.listener.quarantined(service, part.id(), quarantine.strike(part.id(), now));
        extended = true;
      }
    }
    return extended;
  }
}
