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

  /**
   * Looks up a stream, first at the hosts, then in the archive; the listener is called during this
   * call or later.
   *
   * <p>If nobody knows the stream, its version follows from the endpoints if there is only one. A
   * host that others don't respond to may be cut off and know outdated endpoints only, so it reads
   * the present ones first, and does not guess if that fails.
   */
  static void find(
      RequestService.Context context, String requestId, Route route, Listener listener) {
    context
        .streams()
        .find(
            requestId,
            (known, isComplete) -> {
              if (known != null) {
                listener.found(serves(route, known.service()) ? known : null, true);
              } else {
                findArchived(context, requestId, route, isComplete, listener);
              }
            });
  }

  private static void findArchived(
      RequestService.Context context,
      String requestId,
      Route route,
      boolean isComplete,
      Listener listener) {
    context
        .streams()
        .findArchived(
            requestId,
            route.targets().get(0).service(),
            archived -> {
              if (archived != null) {
                listener.found(serves(route, archived.service()) ? archived : null, true);
              } else if (isComplete) {
                listener.found(onlyPossible(context, route), false);
              } else {
                context
                    .confirmEndpoints()
                    .accept(
                        isConfirmed ->
                            listener.found(
                                isConfirmed ? onlyPossible(context, route) : null, false));
              }
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
