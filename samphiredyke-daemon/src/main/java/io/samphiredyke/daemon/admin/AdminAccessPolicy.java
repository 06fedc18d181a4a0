package io.samphiredyke.daemon.admin;

import io.samphiredyke.daemon.response.Problem;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * Decides at which address a resource of the operators' API is available and whether it requires
 * the admin token.
 *
 * <p>With a separate address for operators, the callers' address serves only the health resources,
 * and operators may read state without a token. Without one, the callers' address serves all
 * resources, and those that show the state of the process require the token. Resources that change
 * the process require it at every address.
 */
public final class AdminAccessPolicy {

  private static final String SCHEME = "Bearer ";
  private static final int UNAUTHORIZED = 401;
  private static final int FORBIDDEN = 403;

  private final @Nullable String token;
  private final boolean hasOperatorListener;

  /** The kind of address at which a request arrived. */
  public enum ListenerKind {
    /** The address for callers. */
    CALLERS,
    /** The address for operators. */
    OPERATORS
  }

  /** The kind of a resource, which determines who may access it. */
  public enum ResourceKind {
    /** Liveness and readiness. */
    HEALTH,
    /** The metrics of the process. */
    METRICS,
    /** Shows the state of the process. */
    STATE,
    /** Changes the state of the process. */
    CHANGE,
    /** Not a resource of the operators' API. */
    NONE
  }

  /**
   * Creates a policy.
   *
   * @param token the admin token, or null if none is configured
   * @param hasOperatorListener whether there is a separate address for operators
   */
  public AdminAccessPolicy(@Nullable String token, boolean hasOperatorListener) {
    this.token = token;
    this.hasOperatorListener = hasOperatorListener;
  }

  boolean isAvailable(ResourceKind resource, ListenerKind listener) {
    return listener == ListenerKind.OPERATORS
        || !hasOperatorListener
        || resource == ResourceKind.HEALTH;
  }

  /** Returns the problem for a request that is refused, or empty if the request is permitted. */
  Optional<Problem> refusal(
      ResourceKind resource, ListenerKind listener, @Nullable String authorization) {
    boolean needsToken =
        resource == ResourceKind.CHANGE
            || (resource == ResourceKind.STATE && listener == ListenerKind.CALLERS);
    if (!needsToken || matchesToken(authorization)) {
      return Optional.empty();
    }
    return Optional.of(
        token == null
            ? Problem.notExecuted(FORBIDDEN, "closed", "this host has no admin token")
            : Problem.notExecuted(UNAUTHORIZED, "refused", "the admin token is missing or wrong"));
  }

  private boolean matchesToken(@Nullable String authorization) {
    String expected = token;
    if (expected == null || authorization == null || !authorization.startsWith(SCHEME)) {
      return false;
    }
    String given = authorization.substring(SCHEME.length()).trim();
    return MessageDigest.isEqual(
        given.getBytes(StandardCharsets.UTF_8), expected.getBytes(StandardCharsets.UTF_8));
  }
}
