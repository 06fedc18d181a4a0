package io.samphiredyke.core.membership;

/** Receives the decisions of a {@link Membership}. */
public interface MembershipSink {

  /**
   * Sends a message, which may be lost, duplicated or delayed.
   *
   * @param address address of the receiver
   * @param message the message
   */
  void send(String address, GossipMessage message);

  /**
   * Called after a change of the local view.
   *
   * @param change the change
   */
  void memberChanged(MemberChange change);
}
