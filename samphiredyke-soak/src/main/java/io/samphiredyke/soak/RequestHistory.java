package io.samphiredyke.soak;

import io.samphiredyke.platform.standin.BodyKind;
import io.samphiredyke.platform.standin.CallerStandIn;
import java.util.Arrays;
import java.util.List;

/** What endpoints state that they did to one request. */
final class RequestHistory {

  /** Time after the end of a response in which its caller can't tell a death from before it. */
  private static final long DEATH_MARGIN_MILLIS = 20;

  private final CallerOutcome outcome;
  private final List<String> actions;
  private final boolean isBesideDeath;

  RequestHistory(CallerOutcome outcome, Observations observations) {
    this.outcome = outcome;
    actions = observations.endpointActions(outcome.id());
    long end = outcome.endMillis() + DEATH_MARGIN_MILLIS;
    isBesideDeath =
        actions.stream()
            .filter(action -> action.startsWith("answered "))
            .map(action -> action.substring(action.lastIndexOf(' ') + 1))
            .anyMatch(endpoint -> observations.hasDied(endpoint, outcome.sentMillis(), end));
  }

  long count(String event) {
    return actions.stream().filter(action -> action.startsWith(event)).count();
  }

  /** Returns whether an endpoint that answered the request ended during it. */
  boolean isBesideDeath() {
    return isBesideDeath;
  }

  /** Returns whether an endpoint that answered stated neither a length nor chunks. */
  boolean isUnsized() {
    return actions.stream()
        .anyMatch(action -> action.startsWith("answered ") && action.contains(" unsized "));
  }

  boolean isJoined() {
    return count("joined ") > 0;
  }

  /** Returns whether each attempt was answered with a success that was sent whole and alone. */
  boolean isSound() {
    boolean isDisturbed =
        actions.stream()
            .map(action -> action.substring(0, action.indexOf(' ')))
            .anyMatch(List.of("broke", "spliced", "again", "joined", "refused")::contains);
    long ended = count("ended ");
    return !isDisturbed && ended > 0 && count("ran ") == ended && count("answered 2") == ended;
  }

  /** Returns the body of a plain success. */
  String plainBody() {
    boolean isOfKind =
        actions.stream()
            .filter(action -> action.startsWith("answered 2"))
            .anyMatch(action -> Arrays.asList(action.split(" ")).contains(bodyKind().name()));
    return isOfKind ? bodyKind().plain(outcome.id()) : CallerStandIn.plainBody(outcome.id());
  }

  private BodyKind bodyKind() {
    return BodyKind.of(outcome.id());
  }

  /** Returns the kind of request, how its response ends and how endpoints broke it off. */
  String cause() {
    String cause = "";
    for (String action : actions) {
      String[] words = action.split(" ");
      if (words[0].equals("broke") && !cause.equals(", again")) {
        cause = ", broke " + words[1] + " " + words[2] + (words.length > 6 ? " " + words[3] : "");
      } else if (words[0].equals("spliced")
          || words[0].equals("again")
          || words[0].equals("joined")) {
        cause = ", " + words[0];
      }
    }
    String framing = isUnsized() ? " unsized" : " sized";
    boolean isCauseUnknown = cause.isEmpty() && isUnsized() && !isBesideDeath;
    return ", "
        + outcome.kind()
        + framing
        + cause
        + (isCauseUnknown ? ", not broken off" : "")
        + (isBesideDeath ? ", beside a death" : "");
  }
}
