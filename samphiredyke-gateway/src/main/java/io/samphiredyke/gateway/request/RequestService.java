package io.samphiredyke.gateway.request;

import io.samphiredyke.core.pool.EndpointPauses;
import io.samphiredyke.core.pool.WorkEstimate;
import io.samphiredyke.core.serving.CustomerSpec;
import io.samphiredyke.core.serving.EndpointRecord;
import io.samphiredyke.core.serving.Route;
import io.samphiredyke.core.serving.ServingConfiguration;
import io.samphiredyke.gateway.frontend.CallerRequest;
import io.samphiredyke.gateway.frontend.RequestHandler;
import io.samphiredyke.gateway.frontend.ResponseWriter;
import io.samphiredyke.gateway.log.DecisionLog;
import io.samphiredyke.gateway.metrics.GatewayMetrics;
import io.samphiredyke.gateway.scheduling.CrashWatch;
import io.samphiredyke.gateway.scheduling.EndpointStatements;
import io.samphiredyke.gateway.scheduling.SlotClient;
import io.samphiredyke.gateway.scheduling.StreamOrigins;
import io.samphiredyke.gateway.upstream.EndpointConnectionPool;
import io.samphiredyke.net.control.ControlEventLoop;
import io.samphiredyke.platform.CallerRequestHead;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/** Validates requests against the configuration and starts their processing. */
public final class RequestService implements RequestHandler {

  /** Retry-After of a host that has no configuration yet. */
  private static final long UNCONFIGURED_RETRY_MILLIS = 300;

  /** Part of the heap that buffered responses may use. */
  private static final int RESPONSE_MEMORY_DIVISOR = 4;

  private static final Observer NO_OBSERVER =
      new Observer() {
        @Override
        public void onDisconnected() {}

        @Override
        public void onWritable() {}
      };

  /** The components shared by all requests. */
  record Context(
      ControlEventLoop loop,
      ServingState state,
      SlotClient slotClient,
      EndpointStatements statements,
      EndpointConnectionPool connections,
      DecisionLog log,
      GatewayMetrics metrics,
      RandomGenerator random,
      RequestValueEstimator valueEstimator,
      CallerWaitEstimator waitEstimator,
      EndpointPauses pauses,
      CrashWatch crashes,
      StreamOrigins streams,
      RequestsInProgress inProgress,
      EndpointReader endpointReader,
      ResponseMemory responseMemory) {

    /** Returns for how long a prompt is quarantined, 0 if it is not, in milliseconds. */
    long quarantinedMillis(WorkEstimate estimate) {
      long now = loop.nanoTime();
      return TimeUnit.NANOSECONDS.toMillis(
          slotClient.scheduler().quarantine().remainingNanos(estimate.parts(), now));
    }

    /** Returns whether an instance of an endpoint accepts requests from this host now. */
    boolean accepts(EndpointRecord endpoint) {
      EndpointRecord current = state.endpoints().find(endpoint.id());
      return current != null
          && current.startedAtMillis() == endpoint.startedAtMillis()
          && !pauses.isPaused(endpoint, loop.nanoTime());
    }
  }

  private final Context context;

  /** Creates the service. */
  public RequestService(
      ControlEventLoop loop,
      ServingState state,
      SlotClient slotClient,
      EndpointStatements statements,
      CrashWatch crashes,
      StreamOrigins streams,
      EndpointConnectionPool connections,
      DecisionLog log,
      GatewayMetrics metrics,
      RandomGenerator random,
      EndpointReader endpointReader) {
    this.context =
        new Context(
            loop,
            state,
            slotClient,
            statements,
            connections,
            log,
            metrics,
            random,
            new RequestValueEstimator(),
            new CallerWaitEstimator(),
            new EndpointPauses(),
            crashes,
            streams,
            new RequestsInProgress(),
            endpointReader,
            new ResponseMemory(Runtime.getRuntime().maxMemory() / RESPONSE_MEMORY_DIVISOR, log));
  }

  /** Returns the bytes of responses that are buffered until they are complete. */
  public long bufferedResponseBytes() {
    return context.responseMemory().reserved();
  }

  /** Returns the number of responses that were not buffered because no memory was left. */
  public long unbufferedResponses() {
    return context.responseMemory().exhausted();
  }

  /** Returns the endpoints that want no requests from this host for a time. */
  public EndpointPauses pauses() {
    return context.pauses();
  }

  /** Returns the requests that are not answered. */
  public RequestsInProgress inProgress() {
    return context.inProgress();
  }

  @Override
  public Observer handle(CallerRequest request) {
    CallerRequestHead head = CallerRequestHead.decode(request.head());
    ServingConfiguration configuration = context.state().configuration();
    if (configuration == null) {
      return refuse(
          request,
          head,
          ErrorResponses.SERVICE_UNAVAILABLE,
          "no configuration is known yet",
          UNCONFIGURED_RETRY_MILLIS);
    }
    Route route = configuration.route(head.hostName(), head.path());
    if (route == null) {
      return refuse(request, head, ErrorResponses.NOT_FOUND, "no route for this host and path", -1);
    }
    CustomerSpec customer = configuration.customerOfKey(head.key());
    if (customer == null && !route.isPublic() && configuration.needsKeys()) {
      return refuse(request, head, ErrorResponses.UNAUTHORIZED, "unknown key", -1);
    }
    ActiveRequest active = new ActiveRequest(context, request, head, route, customer);
    active.start();
    return active;
  }

  private Observer refuse(
      CallerRequest request,
      CallerRequestHead head,
      int status,
      String reason,
      long retryAfterMillis) {
    ServingConfiguration configuration = context.state().configuration();
    context
        .log()
        .event(
            "refused",
            "id",
            head.requestId(),
            "status",
            status,
            "reason",
            reason,
            "host",
            head.hostName(),
            "path",
            head.path(),
            "config",
            configuration == null ? -1 : configuration.version());
    context.metrics().refused(reason);
    ResponseWriter writer = request.writer();
    request.body().release();
    ErrorResponses.send(writer, status, reason, false, retryAfterMillis);
    return NO_OBSERVER;
  }
}
