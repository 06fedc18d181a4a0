package io.samphiredyke.daemon.admin;

import io.samphiredyke.daemon.response.Problem;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * Decides who may see which of the operators' pages.
 *
 * <p>With an address for operators, callers see only the health pages at theirs, and operators read
 * without a token. Without one, all pages are at the callers' address, and those that show the
 * process's state need the token. Pages that change something need it everywhere.
 */
public final class AdminAccessPolicy {

  private static final String SCHEME = "Bearer ";
  private static final int UNAUTHORIZED = 401;
  private static final int FORBIDDEN = 403;

  private final @Nullable String token;
  private final boolean hasOperatorsAddress;

  /** An address at which pages are served. */
  public enum ListenerKind {
    /** The callers' address. */
    CALLERS,
    /** The address of metrics and health pages. */
    OPERATORS
  }

  /** A kind of page. */
  public enum ResourceKind {
    /** Liveness and readiness. */
    HEALTH,
    /** Metrics. */
    METRICS,
    /** Shows the state of the process. */
    STATE,
    /** Changes the state of the process. */
    CHANGE,
    /** Not a page for operators. */
    NONE
  }

  /**
   * Creates the rules.
   *
   * @param token the token that operators send, or null if there is none
   * @param hasOperatorsAddress whether there is an address for operators
   */
  public AdminAccessPolicy(@Nullable String token, boolean hasOperatorsAddress) {
    this.token = token;
    this.hasOperatorsAddress = hasOperatorsAddress;
  }

  boolean isServed(ResourceKind page, ListenerKind place) {
    return place == ListenerKind.OPERATORS || !hasOperatorsAddress || page == ResourceKind.HEALTH;
  }

  /** Returns why a request is refused, or empty if it isn't. */
  Optional<Problem> refusal(ResourceKind page, ListenerKind place, @Nullable String authorization) {
    boolean needsToken =
        page == ResourceKind.CHANGE
            || (page == ResourceKind.STATE && place == ListenerKind.CALLERS);
    if (!needsToken || isToken(authorization)) {
      return Optional.empty();
    }
    return Optional.of(
        token == null
            ? Problem.notRun(FORBIDDEN, "closed", "this host has no admin token")
            : Problem.notRun(UNAUTHORIZED, "refused", "the admin token is missing or wrong"));
  }

  private boolean isToken(@Nullable String authorization) {
    String expected = token;
    if (expected == null || authorization == null || !authorization.startsWith(SCHEME)) {
      return false;
    }
    String given = authorization.substring(SCHEME.length()).trim();
    return MessageDigest.isEqual(
        given.getBytes(StandardCharsets.UTF_8), expected.getBytes(StandardCharsets.UTF_8));
  }
}
