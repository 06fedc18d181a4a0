package io.samphiredyke.daemon.entry;

import io.netty.channel.EventLoop;
import io.samphiredyke.core.config.Endpoint;
import io.samphiredyke.daemon.response.ResponseBuffer;
import io.samphiredyke.net.control.SocketAddresses;
import io.samphiredyke.net.http.HttpClient;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

/**
 * Base class of calls to model engines and plain services. Resumes a response with exponential
 * back-off, until too many attempts in a row have made no progress.
 */
abstract class AbstractEndpointCall implements EndpointCall {

  /** The header that carries the request id to the endpoint. */
  static final String ID_HEADER = "Idempotency-Key";

  private static final int MAX_RESUME_FAILURES = 12;
  private static final int MAX_UNKNOWN_RESPONSES = 6;
  private static final Duration MIN_BACKOFF = Duration.ofMillis(50);
  private static final Duration MAX_BACKOFF = Duration.ofSeconds(2);

  protected final HttpClient http;
  protected final EventLoop loop;
  protected final Endpoint endpoint;
  protected final InetSocketAddress address;
  protected final String requestId;
  protected final Payload payload;
  protected final ResponseBuffer buffer;
  protected final Listener listener;
  private volatile boolean cancelled;
  private int resumeFailures;
  private int unknownResponses;

  AbstractEndpointCall(
      CallContext context, Endpoint endpoint, ResponseBuffer buffer, Listener listener) {
    this.http = context.http();
    this.loop = context.loop();
    this.requestId = context.requestId();
    this.payload = context.payload();
    this.endpoint = endpoint;
    this.address = SocketAddresses.parse(endpoint.address());
    this.buffer = buffer;
    this.listener = listener;
  }

  /** Sends one request for the part of the response that has not been received. */
  protected abstract void sendResume();

  @Override
  public void resume() {
    sendResume();
  }

  @Override
  public void cancel() {
    cancelled = true;
  }

  protected boolean isCancelled() {
    return cancelled;
  }

  /** Resets the failure counter after the response has made progress. */
  protected void resetResumeFailures() {
    resumeFailures = 0;
  }

  /** Schedules another resume, or gives up after too many failures without progress. */
  protected void scheduleResume() {
    resumeFailures++;
    if (cancelled) {
      return;
    }
    if (resumeFailures > MAX_RESUME_FAILURES) {
      listener.onResumeFailed();
      return;
    }
    long backoff = MIN_BACKOFF.toMillis() << Math.min(resumeFailures, 10);
    long delay = Math.min(backoff, MAX_BACKOFF.toMillis());
    loop.schedule(this::resumeUnlessCancelled, delay, TimeUnit.MILLISECONDS);
  }

  /**
   * Handles a response that states that the endpoint does not know the request. A request that was
   * sent on a connection that stopped responding may still be in transit, so the endpoint is asked
   * again for a few seconds.
   */
  protected void handleUnknownRequest() {
    unknownResponses++;
    if (unknownResponses >= MAX_UNKNOWN_RESPONSES) {
      listener.onRequestUnknown();
      return;
    }
    scheduleResume();
  }

  private void resumeUnlessCancelled() {
    if (!cancelled) {
      sendResume();
    }
  }

  /**
   * Returns whether a status proves that the request was not executed, according to the endpoint's
   * configuration.
   */
  protected boolean provesNotExecuted(int status) {
    return endpoint.notRunStatuses().contains(status);
  }
}
