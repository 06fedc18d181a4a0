package io.samphiredyke.gateway.request;

import io.samphiredyke.core.serving.CustomerSpec;
import io.samphiredyke.core.serving.Route;
import io.samphiredyke.core.serving.ServingConfiguration;
import io.samphiredyke.gateway.frontend.CallerRequest;
import io.samphiredyke.gateway.frontend.RequestHandler;
import io.samphiredyke.gateway.frontend.ResponseWriter;
import io.samphiredyke.gateway.log.DecisionLog;
import io.samphiredyke.gateway.metrics.GatewayMetrics;
import io.samphiredyke.gateway.scheduling.SlotClient;
import io.samphiredyke.gateway.upstream.EndpointConnectionPool;
import io.samphiredyke.net.control.ControlEventLoop;
import io.samphiredyke.platform.CallerRequestHead;
import java.util.random.RandomGenerator;

/** Checks requests against the configuration and starts their way to an endpoint. */
public final class RequestService implements RequestHandler {

  /** Time after which a caller that met a host without configuration should come back. */
  private static final long UNCONFIGURED_RETRY_MILLIS = 300;

  private static final Observer NOBODY =
      new Observer() {
        @Override
        public void callerGone() {}

        @Override
        public void writable() {}
      };

  /** What all requests share. */
  record Context(
      ControlEventLoop loop,
      ServingState belief,
      SlotClient places,
      EndpointConnectionPool connections,
      DecisionLog log,
      GatewayMetrics metrics,
      RandomGenerator random,
      RequestValueEstimator values) {}

  private final Context context;

  /** Creates the service. */
  public RequestService(
      ControlEventLoop loop,
      ServingState belief,
      SlotClient places,
      EndpointConnectionPool connections,
      DecisionLog log,
      GatewayMetrics metrics,
      RandomGenerator random) {
    this.context =
        new Context(
            loop, belief, places, connections, log, metrics, random, new RequestValueEstimator());
  }

  @Override
  public Observer serve(CallerRequest request) {
    CallerRequestHead head = CallerRequestHead.decode(request.head());
    ServingConfiguration configuration = context.belief().configuration();
    if (configuration == null) {
      return refuse(
          request,
          head,
          ErrorResponses.UNAVAILABLE,
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
    ActiveRequest flow = new ActiveRequest(context, request, head, route, customer);
    flow.start();
    return flow;
  }

  private Observer refuse(
      CallerRequest request,
      CallerRequestHead head,
      int status,
      String reason,
      long retryAfterMillis) {
    ServingConfiguration configuration = context.belief().configuration();
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
    ResponseWriter answer = request.answer();
    request.body().release();
    ErrorResponses.send(answer, status, reason, false, retryAfterMillis);
    return NOBODY;
  }
}
