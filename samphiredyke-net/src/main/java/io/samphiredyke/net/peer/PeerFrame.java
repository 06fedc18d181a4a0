package io.samphiredyke.net.peer;

import io.samphiredyke.schema.message.PeerMessage;

/**
 * A message on a link.
 *
 * @param correlation zero for a message without reply, positive for a request, and the negated
 *     number of the request for its reply
 * @param message the message
 */
record PeerFrame(long correlation, PeerMessage message) {

  static final long ONE_WAY = 0;

  boolean isReply() {
    return correlation < 0;
  }
}
