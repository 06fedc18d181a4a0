package io.samphiredyke.client.internal;

import io.netty.util.concurrent.Ticker;
import io.samphiredyke.client.NotExecutedException;
import io.samphiredyke.net.http.HttpClient;
import io.samphiredyke.net.http.HttpRequest;
import io.samphiredyke.net.http.HttpResponse;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * Keeps the addresses and the ticket of each service until shortly before they expire.
 *
 * <p>Safe for use by several threads; at most one question for a service is under way.
 */
public final class AddressBook {

  private static final double REFRESH_PART = 0.75;
  private static final int OK = 200;
  private static final int UNAUTHORIZED = 401;
  private static final int FORBIDDEN = 403;
  private static final int NOT_FOUND = 404;

  private final HttpClient http;
  private final List<InetSocketAddress> seeds;
  private final String customerKey;
  private final Duration timeout;
  private final Ticker ticker;
  private final Map<String, Lease> leases = new HashMap<>();
  private final Map<String, CompletableFuture<Lease>> pending = new HashMap<>();

  /** Creates an empty book that asks the given seeds. */
  public AddressBook(
      HttpClient http,
      List<InetSocketAddress> seeds,
      String customerKey,
      Duration timeout,
      Ticker ticker) {
    this.http = http;
    this.seeds = List.copyOf(seeds);
    this.customerKey = customerKey;
    this.timeout = timeout;
    this.ticker = ticker;
  }

  /**
   * Returns a lease for a service.
   *
   * @return the lease; fails with {@link NotExecutedException} if the system refuses the customer
   *     or the service, and with an {@link IOException} if no seed answers
   */
  public CompletableFuture<Lease> lease(String service) {
    CompletableFuture<Lease> asked;
    synchronized (this) {
      Lease kept = leases.get(service);
      if (kept != null && kept.isFresh(ticker.nanoTime())) {
        return CompletableFuture.completedFuture(kept);
      }
      CompletableFuture<Lease> underWay = pending.get(service);
      if (underWay != null) {
        return underWay;
      }
      asked = new CompletableFuture<>();
      pending.put(service, asked);
    }
    List<InetSocketAddress> order = new ArrayList<>(seeds);
    Collections.shuffle(order, new Random(ticker.nanoTime()));
    ask(service, order, 0, asked);
    return asked;
  }

  /** Forgets a lease whose first address no longer answers. */
  public synchronized void invalidate(String service, Lease lease) {
    leases.remove(service, lease);
  }

  private void ask(
      String service, List<InetSocketAddress> order, int next, CompletableFuture<Lease> asked) {
    if (next == order.size()) {
      settle(service, null, new IOException("no seed answered"), asked);
      return;
    }
    String query = URLEncoder.encode(service, StandardCharsets.UTF_8);
    HttpRequest request =
        HttpRequest.get(order.get(next), "/v1/addresses?service=" + query)
            .header("authorization", "Bearer " + customerKey)
            .timeout(timeout)
            .build();
    http.send(request)
        .whenComplete(
            (response, failure) -> {
              if (response == null) {
                ask(service, order, next + 1, asked);
                return;
              }
              read(service, order, next, response, asked);
            });
  }

  private void read(
      String service,
      List<InetSocketAddress> order,
      int next,
      HttpResponse response,
      CompletableFuture<Lease> asked) {
    int status = response.status();
    if (status == UNAUTHORIZED || status == FORBIDDEN || status == NOT_FOUND) {
      String message = Problem.parse(response.body()).message();
      settle(service, null, new NotExecutedException("", status, message), asked);
      return;
    }
    Lease lease = status == OK ? parse(response) : null;
    if (lease == null) {
      ask(service, order, next + 1, asked);
      return;
    }
    settle(service, lease, null, asked);
  }

  private @Nullable Lease parse(HttpResponse response) {
    try {
      Addresses answer = response.json(Addresses.class);
      if (answer.addresses() == null || answer.addresses().isEmpty() || answer.ticket() == null) {
        return null;
      }
      long now = ticker.nanoTime();
      double lifeNanos = answer.expiresInSeconds() * TimeUnit.SECONDS.toNanos(1);
      long refresh = now + (long) (lifeNanos * REFRESH_PART);
      return new Lease(
          HostPorts.parse(answer.addresses()), answer.ticket(), refresh, now + (long) lifeNanos);
    } catch (IOException | IllegalArgumentException e) {
      return null;
    }
  }

  private void settle(
      String service,
      @Nullable Lease lease,
      @Nullable Exception failure,
      CompletableFuture<Lease> asked) {
    Lease usable = lease;
    synchronized (this) {
      pending.remove(service);
      if (lease != null) {
        leases.put(service, lease);
      } else if (!(failure instanceof NotExecutedException)) {
        usable = keptIfValid(service);
      }
    }
    if (usable != null) {
      asked.complete(usable);
    } else if (failure != null) {
      asked.completeExceptionally(failure);
    }
  }

  private @Nullable Lease keptIfValid(String service) {
    Lease kept = leases.get(service);
    return kept != null && kept.isValid(ticker.nanoTime()) ? kept : null;
  }
}
