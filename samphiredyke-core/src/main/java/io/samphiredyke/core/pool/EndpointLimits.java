package io.samphiredyke.core.pool;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.function.ObjDoubleConsumer;
import org.jspecify.annotations.Nullable;

/**
 * Limits that endpoints have stated in their responses, as one host knows them from its own
 * exchanges and from other hosts.
 *
 * <p>A response without a limit ends it only if its request was sent after the limit became known,
 * because responses of concurrent requests arrive out of order. What nobody confirms for {@link
 * #RETENTION_NANOS} is forgotten.
 */
public final class EndpointLimits {

  /** Limit of an endpoint that states none, requests per second. */
  public static final double NONE = RateLimit.NONE;

  /** What a response means for the schedulers. */
  public enum Effect {
    /** Nothing to be done. */
    NONE,
    /** It confirms what is known; the scheduler that granted the request is informed again. */
    CONFIRMED,
    /** It changes the limit; all schedulers are informed. */
    CHANGED
  }

  /**
   * How long a limit, or its end, is kept without confirmation. Longer than the pauses between
   * requests to an endpoint with a small limit; a lost message about the end costs as much.
   */
  private static final long RETENTION_NANOS = 15_000_000_000L;

  /** Relative change of a limit below which not all hosts are informed. */
  private static final double MIN_CHANGE = 0.05;

  private record Limit(double perSecond, long changedAt, long confirmedAt) {

    boolean isOther(double stated) {
      if (perSecond == NONE || stated == NONE) {
        return perSecond != stated;
      }
      return Math.abs(stated - perSecond) > MIN_CHANGE * perSecond;
    }
  }

  private final Map<String, Limit> limits = new HashMap<>();

  /**
   * Records a response.
   *
   * @param perSecond stated limit, {@link #NONE} if the response states none
   * @param sentAt when the request was sent
   */
  public Effect responded(String endpointId, double perSecond, long sentAt, long now) {
    Limit known = limits.get(endpointId);
    if (perSecond == NONE) {
      if (known == null) {
        return Effect.NONE;
      }
      if (known.perSecond() != NONE && sentAt - known.changedAt() <= 0) {
        return Effect.NONE;
      }
    }
    return record(endpointId, known, perSecond, now) ? Effect.CHANGED : Effect.CONFIRMED;
  }

  /**
   * Records a limit, or its end, that another host announced.
   *
   * @return whether it differs from what was known
   */
  public boolean announced(String endpointId, double perSecond, long now) {
    return record(endpointId, limits.get(endpointId), perSecond, now);
  }

  private boolean record(String endpointId, @Nullable Limit known, double perSecond, long now) {
    boolean isChanged = known == null || known.isOther(perSecond);
    long changedAt = known == null || isChanged ? now : known.changedAt();
    limits.put(endpointId, new Limit(perSecond, changedAt, now));
    return isChanged;
  }

  /** Forgets what has not been confirmed and returns the endpoints whose limit ends with it. */
  public List<String> expire(long now) {
    List<String> ended = new ArrayList<>();
    for (Iterator<Map.Entry<String, Limit>> i = limits.entrySet().iterator(); i.hasNext(); ) {
      Map.Entry<String, Limit> entry = i.next();
      if (now - entry.getValue().confirmedAt() > RETENTION_NANOS) {
        i.remove();
        if (entry.getValue().perSecond() != NONE) {
          ended.add(entry.getKey());
        }
      }
    }
    return ended;
  }

  /** Calls an action for each endpoint with a limit, and its limit. */
  public void forEach(ObjDoubleConsumer<String> action) {
    limits.forEach(
        (id, limit) -> {
          if (limit.perSecond() != NONE) {
            action.accept(id, limit.perSecond());
          }
        });
  }

  /** Returns the number of endpoints with a limit. */
  public int size() {
    int limited = 0;
    for (Limit limit : limits.values()) {
      limited += limit.perSecond() == NONE ? 0 : 1;
    }
    return limited;
  }
}
