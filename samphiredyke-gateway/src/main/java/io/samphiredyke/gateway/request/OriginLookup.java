package io.samphiredyke.gateway.request;

import io.samphiredyke.core.serving.EndpointRecord;
import io.samphiredyke.core.serving.Route;
import io.samphiredyke.core.serving.StreamOrigin;
import java.util.List;
import org.jspecify.annotations.Nullable;

/** Finds at which software version a stream began that a caller takes up. */
final class OriginLookup {

  /** Receives the result. */
  @FunctionalInterface
  interface Listener {

    /**
     * Called with the origin.
     *
     * @param origin where the stream began, null if that is not certain
     * @param isKnown whether it is recorded, rather than inferred from the endpoints
     */
    void found(@Nullable StreamOrigin origin, boolean isKnown);
  }

  private final RequestService.Context context;
  private final String requestId;
  private final Route route;
  private final Listener listener;

  OriginLookup(RequestService.Context context, String requestId, Route route, Listener listener) {
    this.context = context;
    this.requestId = requestId;
    this.route = route;
    this.listener = listener;
  }

  /** Asks the hosts, then the archive; the listener is called during this call or later. */
  void start() {
    context.streams().find(requestId, this::hostsResponded);
  }

  private void hostsResponded(@Nullable StreamOrigin origin, boolean isComplete) {
    if (origin != null) {
      found(origin);
      return;
    }
    String service = route.targets().get(0).service();
    context
        .streams()
        .findArchived(requestId, service, archived -> archiveResponded(archived, isComplete));
  }

  /**
   * Infers the version of a stream that nobody knows from the endpoints. A host that others don't
   * respond to may be cut off and know outdated endpoints only, so it reads the present ones first.
   */
  private void archiveResponded(@Nullable StreamOrigin origin, boolean areHostsComplete) {
    if (origin != null) {
      found(origin);
    } else if (areHostsComplete) {
      infer();
    } else {
      context.endpointReader().read(this::endpointsRead);
    }
  }

  private void endpointsRead(boolean isRead) {
    if (isRead) {
      infer();
    } else {
      listener.found(null, false);
    }
  }

  private void found(StreamOrigin origin) {
    boolean isServed =
        route.targets().stream().anyMatch(target -> target.service().equals(origin.service()));
    listener.found(isServed ? origin : null, true);
  }

  /** Reports the only version at which the stream can have begun, if there is one. */
  private void infer() {
    if (route.targets().size() != 1) {
      listener.found(null, false);
      return;
    }
    String service = route.targets().get(0).service();
    List<EndpointRecord> endpoints = context.state().endpoints().ofService(service);
    listener.found(context.streams().onlyOrigin(service, endpoints), false);
  }
}
