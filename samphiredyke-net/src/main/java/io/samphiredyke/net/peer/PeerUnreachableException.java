package io.samphiredyke.net.peer;

import java.io.IOException;

/** Thrown if a request to a peer received no reply. */
public final class PeerUnreachableException extends IOException {

  private static final long serialVersionUID = 1L;

  private final boolean mayHaveArrived;

  /**
   * Creates an exception.
   *
   * @param mayHaveArrived false only if the peer certainly did not receive the request
   */
  public PeerUnreachableException(String message, boolean mayHaveArrived) {
    super(message);
    this.mayHaveArrived = mayHaveArrived;
  }

  /** Returns false only if the peer certainly did not receive the request. */
  public boolean mayHaveArrived() {
    return mayHaveArrived;
  }
}
