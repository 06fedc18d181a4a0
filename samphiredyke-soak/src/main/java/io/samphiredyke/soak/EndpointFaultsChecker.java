package io.samphiredyke.soak;

import io.samphiredyke.platform.standin.CallerStandIn;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Set;

/** Compares what each caller received with what endpoints state that they did to its request. */
final class EndpointFaultsChecker {

  /**
   * A broken promise.
   *
   * @param kind the rule and the kind, the same for all findings of that kind
   * @param history the outcome and what endpoints did to the request, one line each
   */
  record Finding(String kind, List<String> history) {}

  /**
   * A time in which all hosts were killed.
   *
   * @param beginMillis milliseconds since the epoch
   * @param endMillis when all of them were ready again
   */
  record Outage(long beginMillis, long endMillis) {}

  private static final Set<Integer> NOT_EXECUTED_STATUSES = Set.of(408, 421, 429, 503);
  private static final Set<Integer> REJECTION_STATUSES = Set.of(400, 401, 403, 404, 413, 431);

  private final Observations observations;
  private final List<Outage> outages;
  private final List<Finding> findings = new ArrayList<>();

  private EndpointFaultsChecker(Observations observations, List<Outage> outages) {
    this.observations = observations;
    this.outages = outages;
  }

  /**
   * Returns the broken promises.
   *
   * @param outages when all hosts were killed
   */
  static List<Finding> check(
      Observations observations, Collection<CallerOutcome> outcomes, List<Outage> outages) {
    EndpointFaultsChecker checker = new EndpointFaultsChecker(observations, outages);
    outcomes.forEach(checker::check);
    return checker.findings;
  }

  private void check(CallerOutcome outcome) {
    checkEnd(outcome);
    checkExecutions(outcome);
    checkOrigin(outcome);
    if (!outcome.isSuccess()) {
      return;
    }
    if (outcome.kind().isStream()) {
      String defect = new StreamText(outcome).defect();
      if (!defect.isEmpty()) {
        add("ORDER " + defect.replaceAll(", .*", "") + cause(outcome), outcome);
      }
    } else if (outcome.isWhole() && !outcome.body().equals(CallerStandIn.plainBody(outcome.id()))) {
      add("MIXED body" + cause(outcome), outcome);
    }
  }

  private void checkEnd(CallerOutcome outcome) {
    boolean isHostKilled =
        outages.stream()
            .anyMatch(
                outage ->
                    outage.beginMillis() <= outcome.endMillis()
                        && outage.endMillis() >= outcome.sentMillis());
    if (isHostKilled) {
      return;
    }
    switch (outcome.end()) {
      case CLOSED_WITHOUT_A_BYTE -> add("LOST closed without a byte" + cause(outcome), outcome);
      case NO_OUTCOME -> add("LOST no outcome", outcome);
      case MALFORMED -> add("MIXED no response in the protocol", outcome);
      default -> {}
    }
  }

  private void checkExecutions(CallerOutcome outcome) {
    long runs = count(outcome, "ran ");
    boolean mayRunOnce = !outcome.kind().isRetryable();
    if (mayRunOnce && runs > 1) {
      add("TWICE", outcome);
    }
    boolean isOwn = outcome.signature().isEmpty();
    if (mayRunOnce && isOwn && runs > 0 && NOT_EXECUTED_STATUSES.contains(outcome.status())) {
      add("REFUSED although run", outcome);
    }
    if (isOwn && REJECTION_STATUSES.contains(outcome.status())) {
      add("DENIED", outcome);
    }
    if (count(outcome, "surplus ") > 0) {
      add("MIXED bytes with no request waiting", outcome);
    }
  }

  private long count(CallerOutcome outcome, String event) {
    return observations.endpointActions(outcome.id()).stream()
        .filter(action -> action.startsWith(event))
        .count();
  }

  private void checkOrigin(CallerOutcome outcome) {
    String stated = CallerStandIn.requestId(outcome.headers());
    String signature = outcome.signature();
    boolean isSigned = !signature.isEmpty();
    if (outcome.isSuccess() && !isSigned) {
      add("MIXED success without a signature", outcome);
    } else if ((!stated.isEmpty() && !stated.equals(outcome.id()))
        || (isSigned && !signature.contains("." + outcome.id() + "."))) {
      add("MIXED another request's response" + cause(outcome), outcome);
    } else if (isSigned && !signature.endsWith("." + outcome.status())) {
      add("MIXED status" + cause(outcome), outcome);
    } else if (isSigned && count(outcome, "answered " + outcome.status()) == 0) {
      add("MIXED response that no endpoint sent", outcome);
    }
  }

  /** Returns how the endpoints broke off the response, empty if they did not. */
  private String cause(CallerOutcome outcome) {
    String cause = "";
    boolean isUnsized = false;
    for (String action : observations.endpointActions(outcome.id())) {
      String[] words = action.split(" ");
      if (words[0].equals("broke") && !cause.equals(", again")) {
        cause = ", broke " + words[1] + " " + words[2] + (words.length > 6 ? " " + words[3] : "");
      } else if (words[0].equals("spliced") || words[0].equals("again")) {
        cause = ", " + words[0];
      }
      isUnsized = words[0].equals("answered") ? action.contains(" unsized ") : isUnsized;
    }
    return cause.isEmpty() && isUnsized ? ", unsized and not broken off" : cause;
  }

  private void add(String kind, CallerOutcome outcome) {
    List<String> history = new ArrayList<>();
    history.add(outcome.toString());
    history.addAll(observations.endpointActions(outcome.id()));
    findings.add(new Finding(kind, history));
  }
}
