package io.samphiredyke.soak;

import com.google.common.flogger.FluentLogger;
import io.samphiredyke.net.control.SocketAddresses;
import io.samphiredyke.net.http.HttpClient;
import io.samphiredyke.platform.StoreClient;
import io.samphiredyke.platform.standin.PlatformFixtures;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletionException;

/** Simulates an operator that writes configurations to the store. */
final class Operator {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration TIMEOUT = Duration.ofSeconds(1);
  private static final int MAX_ATTEMPTS = 60;
  private static final long RETRY_DELAY_MILLIS = 500;

  private final StoreClient store;
  private final List<String> routes = new ArrayList<>();
  private final List<String> keys = new ArrayList<>();
  private int version;
  private int generatedNames;

  Operator(HttpClient http, String storeAddress) {
    store = new StoreClient(http, SocketAddresses.parse(storeAddress));
    keys.add(PlatformFixtures.KEY);
    keys.add(nextName("spare-key"));
  }

  private String nextName(String prefix) {
    generatedNames++;
    return prefix + "-" + generatedNames;
  }

  /** Writes a configuration with an additional route. */
  synchronized void addRoute() {
    routes.add(nextName("added"));
    writeConfiguration();
  }

  /** Writes a configuration in which a new key replaces the latest one. */
  synchronized void replaceKey() {
    keys.remove(keys.size() - 1);
    keys.add(nextName("spare-key"));
    writeConfiguration();
  }

  /** Writes a new version of the configuration, with retries until the store accepts it. */
  synchronized void writeConfiguration() {
    version += 1 + generatedNames % 3;
    writeAgain();
  }

  /** Writes the newest version once more, with retries until the store accepts it. */
  synchronized void writeAgain() {
    byte[] value =
        PlatformFixtures.configuration(version, routes, keys).getBytes(StandardCharsets.UTF_8);
    for (int i = 0; i < MAX_ATTEMPTS; i++) {
      try {
        store.put(StoreClient.OPERATOR_TOPIC, StoreClient.CONFIGURATION_KEY, value, TIMEOUT).join();
        return;
      } catch (CompletionException e) {
        logger.atFine().log("configuration %d not accepted yet: %s", version, e.getMessage());
        pause();
      }
    }
    throw new IllegalStateException(
        "the store did not accept the configuration after the maximum number of attempts");
  }

  private static void pause() {
    try {
      Thread.sleep(RETRY_DELAY_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Returns the added routes, oldest first. */
  synchronized List<String> routes() {
    return List.copyOf(routes);
  }

  /** Returns the latest valid key. */
  synchronized String newestKey() {
    return keys.get(keys.size() - 1);
  }
}
