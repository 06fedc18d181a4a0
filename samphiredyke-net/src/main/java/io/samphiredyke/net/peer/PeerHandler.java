package io.samphiredyke.net.peer;

import io.samphiredyke.schema.message.PeerMessage;
import java.util.function.Consumer;

/** Handles messages from authenticated peers. */
@FunctionalInterface
public interface PeerHandler {

  /**
   * Handles a message, on the event loop of the link.
   *
   * @param from the authenticated sender
   * @param message the message
   * @param reply sends a reply if the message is a request; does nothing otherwise
   */
  void handle(PeerIdentity from, PeerMessage message, Consumer<PeerMessage> reply);
}
