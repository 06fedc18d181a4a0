package io.samphiredyke.gateway.place;

import io.samphiredyke.core.pool.Claim;
import io.samphiredyke.core.pool.Outcome;
import org.jspecify.annotations.Nullable;

/** A claim of this host, from the question until the place is released. */
final class PendingClaim implements Place {

  final Claim request;
  final PlaceListener listener;
  private final PlaceClient client;

  /** Peer address of the scheduler that was asked; this host's own if it decides itself. */
  String scheduler = "";

  /** When the scheduler was last asked. */
  long sentAt;

  /** Questions to the present scheduler without any sign of it. */
  int unansweredMessages;

  @Nullable String endpointId;
  long grantedAt;
  boolean done;

  PendingClaim(PlaceClient client, Claim claim, PlaceListener listener) {
    this.client = client;
    this.request = claim;
    this.listener = listener;
  }

  boolean isGranted() {
    return endpointId != null;
  }

  @Override
  public String endpointId() {
    String id = endpointId;
    if (id == null) {
      throw new IllegalStateException("claim " + request.id() + " has no place");
    }
    return id;
  }

  @Override
  public String grantedBy() {
    return scheduler;
  }

  @Override
  public void firstEventReceived() {
    client.firstEventReceived(this);
  }

  @Override
  public void release(Outcome outcome) {
    client.release(this, outcome);
  }
}
