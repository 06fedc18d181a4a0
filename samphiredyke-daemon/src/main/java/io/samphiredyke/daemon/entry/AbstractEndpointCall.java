package io.samphiredyke.daemon.entry;

import io.netty.channel.EventLoop;
import io.samphiredyke.core.config.Endpoint;
import io.samphiredyke.daemon.response.ResponseBuffer;
import io.samphiredyke.net.control.SocketAddresses;
import io.samphiredyke.net.http.HttpClient;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

/** What calls to model engines and plain services share: a bounded series of resumes. */
abstract class AbstractEndpointCall implements EndpointCall {

  /** The header that names the request at the endpoint. */
  static final String ID_HEADER = "Idempotency-Key";

  private static final int MAX_RESUME_FAILURES = 12;
  private static final int MAX_MISSING_ANSWERS = 6;
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
  private volatile boolean stopped;
  private int failures;
  private int missingAnswers;

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

  /** Sends one request for the rest of the answer. */
  protected abstract void sendResume();

  @Override
  public void resume() {
    sendResume();
  }

  @Override
  public void stop() {
    stopped = true;
  }

  protected boolean isStopped() {
    return stopped;
  }

  /** Notes that the answer made progress, so that failures are counted anew. */
  protected void progressed() {
    failures = 0;
  }

  /** Tries the resume again later, or gives up after too many failures without progress. */
  protected void resumeLater() {
    failures++;
    if (stopped) {
      return;
    }
    if (failures > MAX_RESUME_FAILURES) {
      listener.onUnreachable();
      return;
    }
    long backoff = MIN_BACKOFF.toMillis() << Math.min(failures, 10);
    long bounded = Math.min(backoff, MAX_BACKOFF.toMillis());
    loop.schedule(this::resumeUnlessStopped, bounded, TimeUnit.MILLISECONDS);
  }

  /**
   * Notes that the endpoint does not know the request. A request that was sent on a connection that
   * went silent may still be on its way, so the endpoint is asked again for a few seconds.
   */
  protected void missing() {
    missingAnswers++;
    if (missingAnswers >= MAX_MISSING_ANSWERS) {
      listener.onMissing();
      return;
    }
    resumeLater();
  }

  private void resumeUnlessStopped() {
    if (!stopped) {
      sendResume();
    }
  }

  /** Returns whether a status proves, by the endpoint's configuration, that nothing ran. */
  protected boolean provesNotRun(int status) {
    return endpoint.notRunStatuses().contains(status);
  }
}
