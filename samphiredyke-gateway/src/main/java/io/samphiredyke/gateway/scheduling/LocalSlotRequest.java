package io.samphiredyke.gateway.scheduling;

import io.samphiredyke.core.pool.Outcome;
import io.samphiredyke.core.pool.SlotRequest;
import org.jspecify.annotations.Nullable;

/** A claim of this host, from the question until the place is released. */
final class LocalSlotRequest implements SlotHandle {

  final SlotRequest claim;
  final AcquisitionListener listener;
  private final SlotClient client;

  /** Peer address of the scheduler that was asked; this host's own if it decides itself. */
  String scheduler = "";

  /** When the scheduler was last asked. */
  long askedAt;

  /** Questions to the present scheduler without any sign of it. */
  int unanswered;

  @Nullable String endpointId;
  long grantedAt;
  boolean done;

  LocalSlotRequest(SlotClient client, SlotRequest claim, AcquisitionListener listener) {
    this.client = client;
    this.claim = claim;
    this.listener = listener;
  }

  boolean isGranted() {
    return endpointId != null;
  }

  @Override
  public String endpointId() {
    String id = endpointId;
    if (id == null) {
      throw new IllegalStateException("claim " + claim.id() + " has no place");
    }
    return id;
  }

  @Override
  public String grantedBy() {
    return scheduler;
  }

  @Override
  public void started() {
    client.started(this);
  }

  @Override
  public void release(Outcome outcome) {
    client.release(this, outcome);
  }
}
