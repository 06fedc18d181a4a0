package review3;

/** A configuration with one route of each kind. */
final class Config {

  static final String HOST = "site.example";
  static final String KEY = "key-of-the-customer";

  private Config() {}

  static String json(int version) {
    return json(version, tenant("customer", KEY));
  }

  static String tenant(String name, String key) {
    return "{\"Name\":\"" + name + "\",\"ApiKeys\":[\"" + key + "\"],\"Priority\":1,\"Unit\":\"tokens\","
        + "\"PlainTokens\":200,\"RatePerS\":0,\"Burst\":0}";
  }

  /** Returns a configuration with tenants as {@link #tenant} writes them, joined by commas. */
  static String json(int version, String tenants) {
    return "{\"Version\":" + version + ",\"Routes\":["
        + route("r-safe", "/safe/", "safe", "plain", 2, false) + ","
        + route("r-unsafe", "/unsafe/", "unsafe", "plain", 1, false) + ","
        + route("r-other", "/other/", "unsafe", "other", 1, false) + ","
        + route("r-stream", "/stream/", "streaming", "model", 1, false) + ","
        + route("r-resume", "/resume/", "streaming", "model", 2, true)
        + "],\"Services\":["
        + "{\"Name\":\"plain\",\"HealthPath\":\"/health\",\"MaxConnections\":96,\"Protocol\":\"h1\",\"Tls\":false},"
        + "{\"Name\":\"other\",\"HealthPath\":\"/health\",\"MaxConnections\":96,\"Protocol\":\"h1\",\"Tls\":false},"
        + "{\"Name\":\"model\",\"HealthPath\":\"/health\",\"MaxConnections\":360,\"Protocol\":\"h1\",\"Tls\":false,"
        + "\"Engine\":{\"BatchSlots\":4,\"KvCapacity\":486240}}],"
        + "\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000},"
        + "\"Tenants\":[" + tenants + "]}";
  }

  private static String route(
      String name, String prefix, String kind, String service, int attempts, boolean resumable) {
    boolean isStream = kind.equals("streaming");
    return "{\"Name\":\"" + name + "\",\"Host\":\"" + HOST + "\",\"PathPrefix\":\"" + prefix
        + "\",\"Kind\":\"" + kind + "\",\"TimeoutMs\":8000,\"TargetLatencyMs\":800,\"Priority\":1,\"Service\":\""
        + service + "\",\"MaxAttempts\":" + attempts + ",\"Public\":false,\"Sticky\":" + isStream
        + ",\"Resumable\":" + resumable + ",\"TargetGapMs\":400}";
  }

  /** Returns the head of a request of the customer, without its last blank line. */
  static String head(String method, String target, String id, int deadlineMillis) {
    return head(method, target, id, deadlineMillis, KEY);
  }

  static String head(String method, String target, String id, int deadlineMillis, String key) {
    return method + " " + target + " HTTP/1.1\r\nHost: " + HOST + "\r\nX-Samphiredyke-Request-Id: " + id
        + "\r\nX-Samphiredyke-Deadline-Ms: " + deadlineMillis + "\r\nAuthorization: Bearer " + key + "\r\n";
  }
}
