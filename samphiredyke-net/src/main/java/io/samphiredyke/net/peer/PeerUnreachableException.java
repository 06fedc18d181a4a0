package io.samphiredyke.net.peer;

import java.io.IOException;

/** A request to a peer that got no reply. */
public final class PeerUnreachableException extends IOException {

  private static final long serialVersionUID = 1L;

  private final boolean mayHaveArrived;

  /**
   * Creates an exception.
   *
   * @param mayHaveArrived false only if the peer provably never received the request
   */
  public PeerUnreachableException(String message, boolean mayHaveArrived) {
    super(message);
    this.mayHaveArrived = mayHaveArrived;
  }

  /** Returns false only if the peer provably never received the request. */
  public boolean mayHaveArrived() {
    return mayHaveArrived;
  }
}
