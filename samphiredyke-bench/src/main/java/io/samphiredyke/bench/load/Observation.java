package io.samphiredyke.bench.load;

import io.samphiredyke.client.ExecutionStatus;
import io.samphiredyke.client.RequestException;
import io.samphiredyke.client.Response;
import io.samphiredyke.client.ResponseListener;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.jspecify.annotations.Nullable;

/**
 * Records what the caller of one request observed.
 *
 * <p>Written on one event loop and read only after the request ended.
 */
final class Observation implements ResponseListener {

  private static final int STATUS_OK = 200;

  private final PlannedRequest request;
  private final LongSupplier nanoTime;
  private final List<String> ids = new ArrayList<>();
  private final List<String> notRunIds = new ArrayList<>();
  private final List<Long> tokenGaps = new ArrayList<>();
  private long startNanos;
  private long firstTokenNanos;
  private long lastTokenNanos;
  private long endNanos;
  private int tokens;
  private int connections;
  private Outcome outcome = Outcome.UNKNOWN;
  private String reason = "";

  Observation(PlannedRequest request, LongSupplier nanoTime) {
    this.request = request;
    this.nanoTime = nanoTime;
  }

  /** Records the scheduled send time, relative to which all other times are measured. */
  void recordStart(long dueNanos) {
    startNanos = dueNanos;
  }

  @Override
  public void onRequestId(String id) {
    ids.add(id);
  }

  @Override
  public void onNotExecuted(String id) {
    notRunIds.add(id);
  }

  @Override
  public void onText(long offset, String text) {
    if (text.isEmpty()) {
      return;
    }
    long now = nanoTime.getAsLong();
    if (tokens == 0) {
      firstTokenNanos = now - startNanos;
    } else {
      tokenGaps.add(now - lastTokenNanos);
    }
    lastTokenNanos = now;
    tokens++;
  }

  void recordEnd(@Nullable Response response, @Nullable Throwable failure) {
    endNanos = nanoTime.getAsLong() - startNanos;
    if (response == null) {
      recordFailure(failure);
      return;
    }
    connections = response.attemptCounts().connections();
    if (response.status() != STATUS_OK) {
      outcome = Outcome.FAILED;
      reason = "status " + response.status() + ": " + response.text();
      return;
    }
    String fault = ResponseCheck.findFault(request, response);
    if (fault != null) {
      outcome = Outcome.WRONG;
      reason = fault;
      return;
    }
    outcome = isInTime() ? Outcome.GOOD : Outcome.LATE;
  }

  private boolean isInTime() {
    LoadPlan.Service service = request.service();
    boolean meetsDeadline = endNanos <= TimeUnit.MILLISECONDS.toNanos(service.deadlineMillis());
    boolean meetsFirstTokenTarget =
        service.firstTokenMillis() == 0
            || tokens == 0
            || firstTokenNanos <= TimeUnit.MILLISECONDS.toNanos(service.firstTokenMillis());
    return meetsDeadline && meetsFirstTokenTarget;
  }

  private void recordFailure(@Nullable Throwable failure) {
    Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
    reason = String.valueOf(cause);
    if (!(cause instanceof RequestException exception)) {
      outcome = Outcome.UNKNOWN;
      return;
    }
    outcome =
        switch (exception.executionStatus()) {
          case NOT_EXECUTED -> Outcome.REFUSED;
          case EXECUTED -> Outcome.FAILED;
          case UNKNOWN -> Outcome.UNKNOWN;
        };
    boolean reportedNotRun =
        exception.executionStatus() == ExecutionStatus.NOT_EXECUTED
            && !exception.requestId().isEmpty();
    if (reportedNotRun && !notRunIds.contains(exception.requestId())) {
      notRunIds.add(exception.requestId());
    }
  }

  PlannedRequest request() {
    return request;
  }

  List<String> ids() {
    return ids;
  }

  List<String> notRunIds() {
    return notRunIds;
  }

  Outcome outcome() {
    return outcome;
  }

  /** Returns whether the caller received a response that was reported as complete. */
  boolean isReportedSuccess() {
    return outcome == Outcome.GOOD || outcome == Outcome.LATE || outcome == Outcome.WRONG;
  }

  String reason() {
    return reason;
  }

  int connections() {
    return connections;
  }

  /** Returns the time to the first token, in nanoseconds, or 0 without a token. */
  long firstTokenNanos() {
    return firstTokenNanos;
  }

  /** Returns the time to the end of the request, in nanoseconds. */
  long endNanos() {
    return endNanos;
  }

  List<Long> tokenGaps() {
    return tokenGaps;
  }
}
