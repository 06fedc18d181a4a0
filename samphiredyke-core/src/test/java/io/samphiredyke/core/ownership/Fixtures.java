package io.samphiredyke.core.ownership;

import java.util.List;

/** Chain members, tickets and request ids for the tests of this package. */
final class Fixtures {

  static final Incarnation OWNER = new Incarnation(0, 1);
  static final Incarnation FIRST = new Incarnation(0, 2);
  static final Incarnation SECOND = new Incarnation(0, 3);
  static final Incarnation STRANGER = new Incarnation(0, 4);
  static final long NOW = 1_000;
  static final long EXPIRY = 10_000;
  static final RequestId ID = new RequestId("token", 7);

  private Fixtures() {}

  static Ticket ticket() {
    return ticket(3, true);
  }

  static Ticket ticket(int members, boolean firstMayReceivePayload) {
    List<ChainMember> chain =
        List.of(
            new ChainMember(OWNER, "10.0.0.1:80", true),
            new ChainMember(FIRST, "10.0.1.1:80", firstMayReceivePayload),
            new ChainMember(SECOND, "10.0.2.1:80", true));
    return new Ticket(
        new Incarnation(9, 9), chain.subList(0, members), "acme", "drafts", NOW, EXPIRY);
  }
}
