package io.samphiredyke.gateway.request;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.concurrent.Future;
import io.samphiredyke.core.pool.Outcome;
import io.samphiredyke.core.serving.EndpointRecord;
import io.samphiredyke.gateway.scheduling.SlotHandle;
import io.samphiredyke.gateway.upstream.EndpointExchange;
import io.samphiredyke.gateway.upstream.ExchangeFailure;
import io.samphiredyke.gateway.upstream.ExchangeListener;
import io.samphiredyke.gateway.upstream.OutgoingRequest;
import io.samphiredyke.platform.EndpointResponseHead;
import java.time.Duration;
import org.jspecify.annotations.Nullable;

/** One sending of a request to one endpoint. */
final class EndpointAttempt implements ExchangeListener {

  private static final long NANOS_PER_MILLI = 1_000_000;

  /**
   * Shortest time to the next look at a silent endpoint; the caller may be the one that is slow.
   */
  private static final long MIN_WATCH_MILLIS = 50;

  /**
   * Statuses that promise that a request did not run; only an endpoint that says so may use them.
   */
  private static boolean isPromise(int status) {
    return status == 429 || status == 503 || status == 408 || status == 421;
  }

  private final ActiveRequest flow;
  private final EndpointRecord endpoint;
  private final SlotHandle place;
  private @Nullable EndpointExchange exchange;
  private @Nullable String unusable;
  private @Nullable Future<?> watcher;
  private long lastHeardAt;
  private boolean isUnrun;
  private boolean isDone;
  private boolean hasStarted;
  private int status;

  EndpointAttempt(ActiveRequest flow, EndpointRecord endpoint, SlotHandle place) {
    this.flow = flow;
    this.endpoint = endpoint;
    this.place = place;
  }

  /** Returns how the endpoint did with a request that it may have run. */
  Outcome failure() {
    return status >= ErrorResponses.SERVER_ERROR ? Outcome.ERRORED : Outcome.FAILED;
  }

  EndpointRecord endpoint() {
    return endpoint;
  }

  SlotHandle place() {
    return place;
  }

  void open(OutgoingRequest outgoing) {
    lastHeardAt = flow.context().loop().nanoTime();
    exchange = flow.context().connections().open(endpoint.address(), outgoing, true, this);
    if (!isDone && flow.mayRunAgain()) {
      watch(InactivityTimeout.beforeAnswer(flow.route(), flow.work()));
    }
  }

  private void watch(long millis) {
    watcher = flow.context().loop().schedule(this::checkSilence, Duration.ofMillis(millis));
  }

  private void checkSilence() {
    if (isDone) {
      return;
    }
    long limit =
        hasStarted
            ? InactivityTimeout.withinAnswer(flow.route())
            : InactivityTimeout.beforeAnswer(flow.route(), flow.work());
    long silent = (flow.context().loop().nanoTime() - lastHeardAt) / NANOS_PER_MILLI;
    if (silent < limit || !flow.relay().isWritable()) {
      watch(Math.max(MIN_WATCH_MILLIS, limit - silent));
      return;
    }
    fail("the endpoint was silent for " + silent + " ms");
  }

  private void finish() {
    isDone = true;
    Future<?> pending = watcher;
    if (pending != null) {
      pending.cancel(false);
    }
  }

  void cancel() {
    finish();
    EndpointExchange open = exchange;
    if (open != null) {
      open.cancel();
    }
  }

  void setReading(boolean reading) {
    EndpointExchange open = exchange;
    if (open != null) {
      open.setReading(reading);
    }
  }

  @Override
  public void onHead(EndpointResponseHead head, HttpResponse response) {
    if (isDone) {
      return;
    }
    status = head.status();
    isUnrun = head.statesNotRun();
    unusable = isUnrun ? null : defectOf(head);
    if (isUnrun || unusable != null) {
      return;
    }
    flow.relay().head(response, head.isSuccess());
  }

  private @Nullable String defectOf(EndpointResponseHead head) {
    if (head.isEncoded()) {
      return "the answer has a content encoding";
    }
    if (head.isSuccess()) {
      return head.hasDigest() ? null : "a success without digest";
    }
    if (isPromise(head.status())) {
      return "status " + head.status() + " without a statement that it did not run";
    }
    boolean isFailure = head.status() >= ErrorResponses.SERVER_ERROR;
    boolean isReplaceable = flow.mayRunAgain() || flow.relay().hasStarted();
    return isFailure && isReplaceable ? "status " + head.status() : null;
  }

  @Override
  public void onContent(ByteBuf content) {
    if (isDone || isUnrun || unusable != null) {
      return;
    }
    lastHeardAt = flow.context().loop().nanoTime();
    if (!hasStarted) {
      hasStarted = true;
      place.started();
    }
    if (!flow.relay().content(content)) {
      fail("the answer does not continue the stream");
      return;
    }
    EndpointExchange open = exchange;
    if (open != null && !flow.relay().isWritable()) {
      open.setReading(false);
    }
  }

  @Override
  public void onEnd() {
    if (isDone) {
      return;
    }
    finish();
    String defect = unusable;
    if (isUnrun) {
      flow.notRun(this, status);
    } else if (defect != null) {
      flow.failed(this, defect);
    } else if (flow.relay().endsWithinEvent()) {
      flow.failed(this, "the stream ended within an event");
    } else {
      flow.relay().end();
      flow.served(this, status);
    }
  }

  private void fail(String reason) {
    cancel();
    flow.failed(this, reason);
  }

  @Override
  public void onFailure(ExchangeFailure failure) {
    if (isDone) {
      return;
    }
    finish();
    if (failure.isUnsent()) {
      flow.notConnected(this, failure.reason());
    } else if (isUnrun) {
      flow.notRun(this, status);
    } else {
      flow.failed(this, failure.reason());
    }
  }
}
