package io.samphiredyke.net.peer;

import io.samphiredyke.schema.message.PeerMessage;

/**
 * A message on a link with its correlation id.
 *
 * @param correlationId zero for a message without a reply, positive for a request, and the negated
 *     id of the request for a reply
 * @param message the message
 */
record PeerFrame(long correlationId, PeerMessage message) {

  static final long ONE_WAY = 0;

  boolean isReply() {
    return correlationId < 0;
  }
}
