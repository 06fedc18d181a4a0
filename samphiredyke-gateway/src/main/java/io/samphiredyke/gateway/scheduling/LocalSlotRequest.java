package io.samphiredyke.gateway.scheduling;

import io.samphiredyke.core.pool.Outcome;
import io.samphiredyke.core.pool.SlotRequest;
import org.jspecify.annotations.Nullable;

/** A slot request of this host, from its submission until the slot is released. */
final class LocalSlotRequest implements SlotHandle {

  final SlotRequest request;
  final AcquisitionListener listener;
  private final SlotClient client;

  /** Peer address of the current scheduler; this host's own address if it schedules itself. */
  String scheduler = "";

  /** When the last message was sent to the scheduler. */
  long sentAt;

  /** Messages to the current scheduler since its last acknowledgement. */
  int unansweredMessages;

  @Nullable String endpointId;
  long grantedAt;
  boolean done;

  LocalSlotRequest(SlotClient client, SlotRequest request, AcquisitionListener listener) {
    this.client = client;
    this.request = request;
    this.listener = listener;
  }

  boolean isGranted() {
    return endpointId != null;
  }

  @Override
  public String endpointId() {
    String id = endpointId;
    if (id == null) {
      throw new IllegalStateException("slot request " + request.id() + " has not been granted");
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
