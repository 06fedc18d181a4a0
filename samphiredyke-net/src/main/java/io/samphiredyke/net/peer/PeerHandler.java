package io.samphiredyke.net.peer;

import io.samphiredyke.schema.message.PeerMessage;
import java.util.function.Consumer;

/** Receives the messages of authenticated peers. */
@FunctionalInterface
public interface PeerHandler {

  /**
   * Handles a message, on the link's event loop.
   *
   * @param from the authenticated sender
   * @param message the message
   * @param reply sends a reply if the message was a request; otherwise does nothing
   */
  void handle(PeerIdentity from, PeerMessage message, Consumer<PeerMessage> reply);
}
