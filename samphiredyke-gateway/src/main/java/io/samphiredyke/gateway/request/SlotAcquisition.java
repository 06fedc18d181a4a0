package io.samphiredyke.gateway.request;

import io.samphiredyke.core.pool.SlotRefusal;
import io.samphiredyke.core.serving.CustomerSpec;
import io.samphiredyke.core.serving.Route;
import io.samphiredyke.gateway.scheduling.AcquisitionListener;
import io.samphiredyke.gateway.scheduling.SlotRequirements;
import io.samphiredyke.platform.CallerRequestHead;
import java.time.Duration;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/** Acquires slots for the attempts of one request, one after the other. */
final class SlotAcquisition {

  private static final long NANOS_PER_MILLI = 1_000_000;

  /** Part of a pause by which returns after its end are spread at random. */
  private static final double PAUSE_RETURN_SPREAD = 0.2;

  private final RequestService.Context context;
  private final AcquisitionListener listener;
  private final CallerRequestHead head;
  private final Route route;
  private final @Nullable CustomerSpec customer;
  private final RequestContent content;
  private final RequestDeadlines deadlines;
  private final AttemptCounter attempts;
  private final double value;
  private final EndpointEligibility eligibility;
  private long slotRequestId;
  private boolean quotaCharged;
  private boolean isClosed;

  /**
   * Creates an acquisition.
   *
   * @param listener receives each grant, and the refusal that ends the acquisition
   */
  SlotAcquisition(
      RequestService.Context context,
      AcquisitionListener listener,
      CallerRequestHead head,
      Route route,
      @Nullable CustomerSpec customer,
      RequestContent content,
      RequestDeadlines deadlines,
      AttemptCounter attempts) {
    this.context = context;
    this.listener = listener;
    this.head = head;
    this.route = route;
    this.customer = customer;
    this.content = content;
    this.deadlines = deadlines;
    this.attempts = attempts;
    this.eligibility =
        new EndpointEligibility(
            context.pauses(),
            service -> context.state().endpoints().ofService(service),
            route.pickService(context.random().nextDouble()));
    this.value =
        context
            .valueEstimator()
            .value(route.name(), head.estimate().promptTokens(), head.maxOutputTokens());
  }

  EndpointEligibility eligibility() {
    return eligibility;
  }

  /** Excludes an endpoint for the rest of the request. */
  void exclude(String endpointId) {
    eligibility.exclude(endpointId);
  }

  /** Acquires a slot, or waits or gives up if no endpoint may get the request from this host. */
  void acquire() {
    if (isClosed) {
      return;
    }
    SlotRefusal quarantined = content.quarantineRefusal();
    if (quarantined != null) {
      listener.refused(quarantined);
      return;
    }
    if (content.isUndecided()) {
      context.loop().schedule(this::acquire, context.crashes().settleTime());
      return;
    }
    long now = context.loop().nanoTime();
    long usableAt = eligibility.usableAt(now);
    if (usableAt > now) {
      awaitPause(usableAt, now);
    } else {
      submit(eligibility.excluded(now));
    }
  }

  private void awaitPause(long usableAt, long now) {
    if (usableAt - deadlines.startDeadline() <= 0) {
      eligibility.awaitPause();
      context.loop().schedule(this::acquire, Duration.ofNanos(usableAt - now));
      return;
    }
    double spread = 1 + PAUSE_RETURN_SPREAD * context.random().nextDouble();
    listener.refused(
        new SlotRefusal(
            SlotRefusal.Reason.ENDPOINTS_PAUSED,
            (long) ((usableAt - now) / NANOS_PER_MILLI * spread)));
  }

  private void submit(Set<String> excluded) {
    long units = 0;
    CustomerSpec charged = customer;
    if (charged != null && !quotaCharged) {
      units = CustomerCharge.quotaUnits(charged, head);
      quotaCharged = true;
    }
    SlotRequirements requirements =
        new SlotRequirements(
            eligibility.service(),
            route.name(),
            CustomerCharge.rank(route, charged),
            value,
            head.estimate(),
            charged == null ? "" : charged.name(),
            units,
            attempts.reachedEndpoint(),
            excluded,
            content.isolated(),
            deadlines.objectiveDeadline(),
            deadlines.startDeadline());
    slotRequestId = context.slotClient().acquire(requirements, listener);
  }

  /** Withdraws the slot request that has not been granted yet. */
  void withdraw() {
    context.slotClient().withdraw(slotRequestId);
  }

  /** Acquires nothing any more, because the request has ended. */
  void close() {
    isClosed = true;
  }
}
