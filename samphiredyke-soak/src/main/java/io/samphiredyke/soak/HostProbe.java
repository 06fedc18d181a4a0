package io.samphiredyke.soak;

import com.google.common.flogger.FluentLogger;
import io.samphiredyke.net.control.SocketAddresses;
import io.samphiredyke.net.http.HttpClient;
import io.samphiredyke.net.http.HttpRequest;
import io.samphiredyke.platform.standin.CallerStandIn;
import java.time.Duration;
import java.util.concurrent.CompletionException;

/** Asks hosts whether they are ready. */
final class HostProbe {

  /** Time limit of one question. */
  static final Duration TIMEOUT = Duration.ofSeconds(2);

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Time limit for startup, sufficient on a heavily loaded machine. */
  private static final Duration START_TIMEOUT = Duration.ofSeconds(60);

  private static final long POLL_MILLIS = 100;
  private static final int OK = 200;

  private final HttpClient http;

  HostProbe(HttpClient http) {
    this.http = http;
  }

  /** Waits until all hosts are ready. */
  void awaitReady(Fleet fleet) {
    long deadline = System.nanoTime() + START_TIMEOUT.toNanos();
    for (Fleet.Host host : fleet.hosts()) {
      while (!isReady(host)) {
        if (System.nanoTime() > deadline) {
          throw new IllegalStateException(host.name() + " is not ready, see its log");
        }
        pause();
      }
    }
  }

  private static void pause() {
    try {
      Thread.sleep(POLL_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  boolean isReady(Fleet.Host host) {
    return statusOf(
            CallerStandIn.readinessRequest(SocketAddresses.parse(host.readinessAddress()), TIMEOUT))
        == OK;
  }

  /** Returns the status of the response to a request, 0 if there is none. */
  int statusOf(HttpRequest request) {
    try {
      return http.send(request).join().status();
    } catch (CompletionException e) {
      logger.atFine().log("no response: %s", e.getMessage());
      return 0;
    }
  }
}
