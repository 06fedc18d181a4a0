import java.util.Locale;

/** The configuration of the small deployment, as the operator writes it. */
final class Deployment {

  static final String KEY = "i9n73hh2b9wu3fexd9dn";
  static final int MAX_BODY_BYTES = 4_194_304;

  private Deployment() {}

  /**
   * Returns a configuration with a route of each kind: /desk/ is unsafe, /look/ safe, /brief/ a
   * stream, /feed/ a stream that may be resumed.
   */
  static String configuration(int version, int deskMillis, int lookMillis) {
    return String.format(
        Locale.ROOT,
        "{\"Version\":%d,\"Routes\":[%s,%s,%s,%s],\"Services\":["
            + "{\"Name\":\"writers\",\"HealthPath\":\"/health\",\"MaxConnections\":360,"
            + "\"Protocol\":\"h1\",\"Tls\":false,\"Engine\":{\"BatchSlots\":4,"
            + "\"KvCapacity\":486240,\"KvTokenBytes\":18432,\"LinkMbps\":740000.0,\"Moves\":true,"
            + "\"Backups\":true,\"Stride\":6,\"most\":12,\"PinMs\":4000.0,\"HoldMs\":2000.0,"
            + "\"HandleS\":5.0,\"Models\":[{\"Name\":\"m\"}]}},"
            + "{\"Name\":\"desk\",\"HealthPath\":\"/health\",\"MaxConnections\":96,"
            + "\"Protocol\":\"h1\",\"Tls\":false}],"
            + "\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":%d,"
            + "\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000},"
            + "\"Tenants\":[{\"Name\":\"hule930\",\"ApiKeys\":[\"%s\"],\"Priority\":1,"
            + "\"Unit\":\"tokens\",\"PlainTokens\":200,\"RatePerS\":0,\"Burst\":0}]}",
        version,
        route("r-desk", "/desk/", "unsafe", "desk", deskMillis, 1, false, 193, 0),
        route("r-look", "/look/", "safe", "desk", lookMillis, 2, false, 193, 0),
        route("r-brief", "/brief/", "streaming", "writers", 8_000, 1, false, 800, 400),
        route("r-feed", "/feed/", "streaming", "writers", 8_000, 2, true, 500, 400),
        MAX_BODY_BYTES,
        KEY);
  }

  /** Returns the configuration with a further route, a stream: /digest/. */
  static String withDigest(int version) {
    String digest = route("r-digest", "/digest/", "streaming", "writers", 8_000, 1, false, 800, 400);
    return configuration(version, 1_000, 1_000)
        .replace("\"Routes\":[", "\"Routes\":[" + digest + ",");
  }

  private static String route(
      String name,
      String prefix,
      String kind,
      String service,
      int timeoutMillis,
      int attempts,
      boolean isResumable,
      int targetMillis,
      int gapMillis) {
    return String.format(
        Locale.ROOT,
        "{\"Name\":\"%s\",\"Host\":\"ficu95.example\",\"PathPrefix\":\"%s\",\"Kind\":\"%s\","
            + "\"TimeoutMs\":%d,\"TargetLatencyMs\":%d,\"Priority\":1,\"Service\":\"%s\","
            + "\"MaxAttempts\":%d,\"Public\":false,\"Sticky\":%b,\"Resumable\":%b,"
            + "\"TargetGapMs\":%d}",
        name,
        prefix,
        kind,
        timeoutMillis,
        targetMillis,
        service,
        attempts,
        kind.equals("streaming"),
        isResumable,
        gapMillis);
  }
}
