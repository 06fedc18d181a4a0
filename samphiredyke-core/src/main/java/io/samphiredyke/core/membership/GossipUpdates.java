package io.samphiredyke.core.membership;

import io.samphiredyke.core.membership.internal.MessagePackSize;
import java.util.List;

/**
 * Updates that travel on a message.
 *
 * @param members members that receivers may not know yet
 * @param states changes of state of known members
 */
public record GossipUpdates(List<Member> members, List<StateUpdate> states) {

  /** No updates. */
  public static final GossipUpdates NONE = new GossipUpdates(List.of(), List.of());

  private static final int FIELDS = 2;

  /** Copies the lists. */
  public GossipUpdates {
    members = List.copyOf(members);
    states = List.copyOf(states);
  }

  /** Size of the encoded form, bytes. */
  public int encodedSize() {
    int size =
        MessagePackSize.ofArray(FIELDS)
            + MessagePackSize.ofArray(members.size())
            + MessagePackSize.ofArray(states.size());
    for (Member member : members) {
      size += member.encodedSize();
    }
    for (StateUpdate state : states) {
      size += state.encodedSize();
    }
    return size;
  }
}
