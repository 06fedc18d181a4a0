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

/** Writes configurations to the store. */
final class Operator {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration TIMEOUT = Duration.ofSeconds(1);
  private static final int TRIES = 60;
  private static final long PAUSE_MILLIS = 500;

  private final StoreClient store;
  private final List<String> routes = new ArrayList<>();
  private final List<String> keys = new ArrayList<>();
  private int version;
  private int names;

  Operator(HttpClient http, String storeAddress) {
    store = new StoreClient(http, SocketAddresses.parse(storeAddress));
    keys.add(PlatformFixtures.KEY);
    keys.add(nextName("spare-key"));
  }

  private String nextName(String prefix) {
    names++;
    return prefix + "-" + names;
  }

  /** Adds a route. */
  synchronized void addRoute() {
    routes.add(nextName("added"));
    write();
  }

  /** Takes the newest key away and adds another one. */
  synchronized void replaceKey() {
    keys.remove(keys.size() - 1);
    keys.add(nextName("spare-key"));
    write();
  }

  /** Writes the configuration until the store has taken it. */
  synchronized void write() {
    version += 1 + names % 3;
    byte[] value =
        PlatformFixtures.configuration(version, routes, keys).getBytes(StandardCharsets.UTF_8);
    for (int i = 0; i < TRIES; i++) {
      try {
        store.put(StoreClient.OPERATOR_TOPIC, StoreClient.CONFIGURATION_KEY, value, TIMEOUT).join();
        return;
      } catch (CompletionException e) {
        logger.atFine().log("configuration %d not taken yet: %s", version, e.getMessage());
        pause();
      }
    }
    throw new IllegalStateException("the store takes no configuration");
  }

  private static void pause() {
    try {
      Thread.sleep(PAUSE_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Returns the routes that were added, oldest first. */
  synchronized List<String> routes() {
    return List.copyOf(routes);
  }

  /** Returns the newest key that is valid. */
  synchronized String newestKey() {
    return keys.get(keys.size() - 1);
  }
}
