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
 * Caches the ticket and the addresses of each service until shortly before they expire.
 *
 * <p>Thread-safe. At most one lookup for a service is in progress at a time.
 */
public final class TicketLeaseCache {

  /** Fraction of the validity of a ticket after which a new one is requested. */
  private static final double REFRESH_FRACTION = 0.75;

  private static final int OK = 200;
  private static final int UNAUTHORIZED = 401;
  private static final int FORBIDDEN = 403;
  private static final int NOT_FOUND = 404;

  private final HttpClient http;
  private final List<InetSocketAddress> seeds;
  private final String customerKey;
  private final Duration timeout;
  private final Ticker ticker;
  private final SilentHosts silentHosts;
  private final Map<String, TicketLease> leases = new HashMap<>();
  private final Map<String, CompletableFuture<TicketLease>> pending = new HashMap<>();

  /** Creates an empty cache that looks up addresses at the given seeds. */
  public TicketLeaseCache(
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
    this.silentHosts = new SilentHosts(ticker);
  }

  /**
   * Returns a lease for a service.
   *
   * @return the lease; fails with {@link NotExecutedException} if the customer or the service is
   *     rejected, and with an {@link IOException} if no seed returns one
   */
  public CompletableFuture<TicketLease> lease(String service) {
    CompletableFuture<TicketLease> result;
    synchronized (this) {
      TicketLease cached = leases.get(service);
      if (cached != null && cached.isFresh(ticker.nanoTime())) {
        return CompletableFuture.completedFuture(cached);
      }
      CompletableFuture<TicketLease> inProgress = pending.get(service);
      if (inProgress != null) {
        return inProgress;
      }
      result = new CompletableFuture<>();
      pending.put(service, result);
    }
    List<InetSocketAddress> shuffledSeeds = new ArrayList<>(seeds);
    Collections.shuffle(shuffledSeeds, new Random(ticker.nanoTime()));
    querySeed(service, shuffledSeeds, 0, result);
    return result;
  }

  /** Returns the hosts that did not answer the requests of the client lately. */
  SilentHosts silentHosts() {
    return silentHosts;
  }

  /** Removes a lease, for example because its first address is unreachable. */
  public synchronized void invalidate(String service, TicketLease lease) {
    leases.remove(service, lease);
  }

  private void querySeed(
      String service,
      List<InetSocketAddress> shuffledSeeds,
      int next,
      CompletableFuture<TicketLease> result) {
    if (next == shuffledSeeds.size()) {
      complete(service, null, new IOException("no seed returned addresses and a ticket"), result);
      return;
    }
    String query = URLEncoder.encode(service, StandardCharsets.UTF_8);
    HttpRequest request =
        HttpRequest.get(shuffledSeeds.get(next), "/v1/addresses?service=" + query)
            .header("authorization", "Bearer " + customerKey)
            .timeout(timeout)
            .requireFraming()
            .build();
    http.send(request)
        .whenComplete(
            (response, failure) -> {
              if (response == null) {
                querySeed(service, shuffledSeeds, next + 1, result);
                return;
              }
              handleResponse(service, shuffledSeeds, next, response, result);
            });
  }

  private void handleResponse(
      String service,
      List<InetSocketAddress> shuffledSeeds,
      int next,
      HttpResponse response,
      CompletableFuture<TicketLease> result) {
    int status = response.status();
    if (status == UNAUTHORIZED || status == FORBIDDEN || status == NOT_FOUND) {
      String message = Problem.parse(response.body()).message();
      complete(service, null, new NotExecutedException("", status, message), result);
      return;
    }
    TicketLease lease = status == OK ? parse(response) : null;
    if (lease == null) {
      querySeed(service, shuffledSeeds, next + 1, result);
      return;
    }
    complete(service, lease, null, result);
  }

  private @Nullable TicketLease parse(HttpResponse response) {
    try {
      AddressesResponse body = response.json(AddressesResponse.class);
      if (body.addresses() == null || body.addresses().isEmpty() || body.ticket() == null) {
        return null;
      }
      long now = ticker.nanoTime();
      double validityNanos = body.expiresInSeconds() * TimeUnit.SECONDS.toNanos(1);
      long refresh = now + (long) (validityNanos * REFRESH_FRACTION);
      return new TicketLease(
          HostPortParser.parse(body.addresses()),
          body.ticket(),
          refresh,
          now + (long) validityNanos);
    } catch (IOException | IllegalArgumentException e) {
      return null;
    }
  }

  private void complete(
      String service,
      @Nullable TicketLease lease,
      @Nullable Exception failure,
      CompletableFuture<TicketLease> result) {
    TicketLease usable = lease;
    synchronized (this) {
      pending.remove(service);
      if (lease != null) {
        leases.put(service, lease);
      } else if (!(failure instanceof NotExecutedException)) {
        usable = cachedIfValid(service);
      }
    }
    if (usable != null) {
      result.complete(usable);
    } else if (failure != null) {
      result.completeExceptionally(failure);
    }
  }

  private @Nullable TicketLease cachedIfValid(String service) {
    TicketLease cached = leases.get(service);
    return cached != null && cached.isValid(ticker.nanoTime()) ? cached : null;
  }
}
