package io.samphiredyke.soak;

import io.samphiredyke.platform.standin.CallerStandIn;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** Compares what each caller received with what endpoints state that they did to its request. */
final class EndpointFaultsChecker {

  /**
   * A broken promise.
   *
   * @param kind the rule and the kind, the same for all findings of that kind
   * @param id the request
   * @param history the outcomes and what endpoints and hosts did to the request, one line each
   */
  record Finding(String kind, String id, List<String> history) {

    /** Returns the finding with the builds that received the request. */
    Finding at(Builds builds, Collection<CallerOutcome> outcomes) {
      List<CallerOutcome> attempts =
          outcomes.stream().filter(outcome -> outcome.id().equals(id)).toList();
      return new Finding(kind + builds.ofAttempts(attempts), id, history);
    }

    Finding with(List<String> lines) {
      return new Finding(kind, id, Stream.concat(history.stream(), lines.stream()).toList());
    }
  }

  /**
   * A time in which hosts were killed.
   *
   * @param beginMillis milliseconds since the epoch
   * @param endMillis when all of them were ready again
   * @param isOfAllHosts whether all hosts were killed at once
   * @param host the host whose requests may be lost, empty for all
   */
  record Outage(long beginMillis, long endMillis, boolean isOfAllHosts, String host) {
    boolean touches(CallerOutcome outcome) {
      return beginMillis <= outcome.endMillis()
          && endMillis >= outcome.sentMillis()
          && (host.isEmpty() || host.equals(outcome.host()));
    }
  }

  private static final int RUN_MILLIS_WORD = 4;
  private static final int FALL_MILLIS_WORD = 7;

  /** Falls of brittle endpoints that are permitted, and endpoints for which one more is. */
  private static final int MAX_FALLS = 2;

  private static final int ENDPOINTS_PER_FALL = 10;

  /** Time for which a host runs before falls count. */
  private static final long IN_TOUCH_MILLIS = 3_000;

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
   * @param outages when hosts were killed
   */
  static List<Finding> check(
      Observations observations, Collection<CallerOutcome> outcomes, List<Outage> outages) {
    EndpointFaultsChecker checker = new EndpointFaultsChecker(observations, outages);
    outcomes.forEach(checker::check);
    outcomes.stream()
        .collect(Collectors.groupingBy(CallerOutcome::id))
        .values()
        .forEach(checker::checkExecutions);
    observations.endpointActions().forEach(checker::checkFalls);
    return checker.findings;
  }

  private void check(CallerOutcome outcome) {
    checkEnd(outcome);
    checkDenials(outcome);
    checkOrigin(outcome);
    if (!outcome.isSuccess()) {
      return;
    }
    if (outcome.kind().isStream()) {
      String defect = new StreamText(outcome).defect();
      if (!defect.isEmpty()) {
        add("ORDER " + defect.replaceAll(", .*", "") + cause(outcome), outcome);
      }
    } else if (outcome.isWhole() && !outcome.body().equals(history(outcome).plainBody())) {
      add("MIXED body" + cause(outcome), outcome);
    }
  }

  private void checkEnd(CallerOutcome outcome) {
    if (outages.stream().anyMatch(outage -> outage.touches(outcome))) {
      return;
    }
    switch (outcome.end()) {
      case CLOSED_WITHOUT_A_BYTE -> add("LOST closed without a byte" + cause(outcome), outcome);
      case NO_OUTCOME -> add("LOST no outcome", outcome);
      case MALFORMED -> add("MIXED no response in the protocol", outcome);
      default -> {}
    }
  }

  /**
   * Checks the attempts of a caller under one id, which sends a request again only after a refusal:
   * the request runs at most once in all, not before the end of a refusal, and not at all if the
   * last attempt was refused.
   */
  private void checkExecutions(List<CallerOutcome> attempts) {
    CallerOutcome last = attempts.get(attempts.size() - 1);
    List<Long> runs = runs(last.id());
    if (last.kind().isRetryable() || runs.isEmpty()) {
      return;
    }
    if (runs.size() > 1) {
      add("TWICE" + ownCopy(last), attempts);
    }
    long firstRun = Collections.min(runs);
    for (CallerOutcome attempt : attempts) {
      if (attempt.isRefused() && (attempt == last || firstRun < attempt.endMillis())) {
        add("REFUSED although run" + ownCopy(last), attempts);
        return;
      }
    }
  }

  /**
   * Checks that endpoints fall over at most twice and a tenth of their number in a time in which
   * they are brittle, beside the times in which all hosts were killed.
   */
  private void checkFalls(String phase, List<String> actions) {
    long endpoints = actions.stream().filter(action -> action.startsWith("brittle ")).count();
    long falls =
        actions.stream().filter(action -> action.startsWith("fell ") && !isExcused(action)).count();
    if (falls > MAX_FALLS + endpoints / ENDPOINTS_PER_FALL) {
      findings.add(new Finding("LIMIT falls of brittle endpoints", phase, actions));
    }
  }

  private boolean isExcused(String fall) {
    String[] words = fall.split(" ");
    long millis = Long.parseLong(words[FALL_MILLIS_WORD]);
    return outages.stream()
        .anyMatch(
            outage ->
                outage.isOfAllHosts()
                    && millis >= outage.beginMillis()
                    && millis <= outage.endMillis() + IN_TOUCH_MILLIS);
  }

  /** Returns when endpoints ran a request, in milliseconds since the epoch. */
  private List<Long> runs(String id) {
    return observations.endpointActions(id).stream()
        .filter(action -> action.startsWith("ran "))
        .map(action -> Long.valueOf(action.split(" ")[RUN_MILLIS_WORD]))
        .toList();
  }

  /** Tells whether the request could meet a copy of the response to an earlier attempt. */
  private String ownCopy(CallerOutcome outcome) {
    List<String> copies =
        observations.endpointActions(outcome.id()).stream()
            .filter(action -> action.startsWith("copy "))
            .toList();
    if (copies.isEmpty()) {
      return "";
    }
    boolean isMet = copies.stream().anyMatch(action -> action.contains("-own "));
    return isMet ? ", copy met its own id" : ", copy sent";
  }

  private void checkDenials(CallerOutcome outcome) {
    boolean isOwn = outcome.signature().isEmpty();
    if (isOwn && REJECTION_STATUSES.contains(outcome.status())) {
      add("DENIED", outcome);
    }
    if (history(outcome).count("surplus ") > 0) {
      add("MIXED bytes with no request waiting", outcome);
    }
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
    } else if (isSigned && history(outcome).count("answered " + outcome.status()) == 0) {
      add("MIXED response that no endpoint sent", outcome);
    }
  }

  private String cause(CallerOutcome outcome) {
    return history(outcome).cause();
  }

  private RequestHistory history(CallerOutcome outcome) {
    return new RequestHistory(outcome, observations);
  }

  private void add(String kind, CallerOutcome outcome) {
    add(kind, List.of(outcome));
  }

  private void add(String kind, List<CallerOutcome> attempts) {
    String id = attempts.get(0).id();
    List<String> history = new ArrayList<>();
    attempts.forEach(attempt -> history.add(attempt.toString()));
    history.addAll(observations.endpointActions(id));
    findings.add(new Finding(kind, id, history));
  }
}
