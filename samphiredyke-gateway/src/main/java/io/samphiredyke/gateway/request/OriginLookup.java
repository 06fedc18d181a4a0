package io.samphiredyke.gateway.request;

import io.samphiredyke.core.serving.Route;
import io.samphiredyke.core.serving.StreamOrigin;
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
     * @param isKnown whether a host knows the stream, rather than that there is only one version
     */
    void found(@Nullable StreamOrigin origin, boolean isKnown);
  }

  private OriginLookup() {}

  /** Looks up a stream; the listener is called during this call or later. */
  static void find(
      RequestService.Context context, String requestId, Route route, Listener listener) {
    context
        .streams()
        .find(
            requestId,
            known -> {
              StreamOrigin origin = known == null ? onlyPossible(context, route) : known;
              boolean isServed = origin != null && serves(route, origin.service());
              listener.found(isServed ? origin : null, known != null);
            });
  }

  private static boolean serves(Route route, String service) {
    return route.targets().stream().anyMatch(target -> target.service().equals(service));
  }

  private static @Nullable StreamOrigin onlyPossible(RequestService.Context context, Route route) {
    if (route.targets().size() != 1) {
      return null;
    }
    String service = route.targets().get(0).service();
    return context.streams().onlyOrigin(service, context.state().endpoints().ofService(service));
  }
}
