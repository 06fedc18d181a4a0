package io.samphiredyke.client;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.samphiredyke.client.internal.ClientContext;
import io.samphiredyke.client.internal.ConnectionPools;
import io.samphiredyke.client.internal.EncodedRequest;
import io.samphiredyke.client.internal.HostPortParser;
import io.samphiredyke.client.internal.RequestExecution;
import io.samphiredyke.client.internal.RetryBudget;
import io.samphiredyke.client.internal.TicketLeaseCache;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.jspecify.annotations.Nullable;

/**
 * Sends the requests of one customer and follows each until its outcome is known.
 *
 * <p>The client requests host addresses and a ticket from a seed and derives the request ids from
 * the ticket. It retries a request with the same id, on new connections, until a host reports the
 * outcome. It uses a new id only after a response that the request was not executed with the old
 * id. A streamed response is complete only if its event offsets have no gap and its end marker was
 * received.
 *
 * <p>The returned futures fail with a {@link RequestException}: {@link NotExecutedException},
 * {@link OutcomeUnknownException}, {@link ResponseUnavailableException} or {@link
 * DeadlineExceededException}. The class is thread-safe.
 */
public final class SamphiredykeClient implements AutoCloseable {

  private final EventLoopGroup group;
  private final ConnectionPools connections;
  private final ClientContext context;

  private SamphiredykeClient(
      Builder builder, EventLoopGroup group, String customerKey, List<String> seeds) {
    this.group = group;
    this.connections = ConnectionPools.create(group, builder.options);
    EventLoop loop = group.next();
    TicketLeaseCache leaseCache =
        new TicketLeaseCache(
            connections.unpooled(),
            HostPortParser.parse(seeds),
            customerKey,
            builder.options.addressTimeout(),
            loop.ticker());
    RetryBudget retryBudget = new RetryBudget(builder.options.retryRatio());
    this.context =
        new ClientContext(connections, leaseCache, retryBudget, builder.options, customerKey);
  }

  /** Returns a builder. */
  public static Builder builder() {
    return new Builder();
  }

  /** Sends a chat completion request and reports its progress to a listener. */
  public CompletableFuture<Response> chat(ChatRequest request, ResponseListener listener) {
    return run(EncodedRequest.of(request), listener);
  }

  /** Sends a chat completion request. */
  public CompletableFuture<Response> chat(ChatRequest request) {
    return chat(request, ResponseListener.NONE);
  }

  /** Calls a plain service and reports the request ids to a listener. */
  public CompletableFuture<Response> call(ServiceCall call, ResponseListener listener) {
    return run(EncodedRequest.of(call), listener);
  }

  /** Calls a plain service. */
  public CompletableFuture<Response> call(ServiceCall call) {
    return call(call, ResponseListener.NONE);
  }

  private CompletableFuture<Response> run(EncodedRequest call, ResponseListener listener) {
    return new RequestExecution(context, call, listener, group.next()).start();
  }

  /** Closes the idle connections. Requests in progress continue. */
  @Override
  public void close() {
    connections.close();
  }

  /** Builder of {@link SamphiredykeClient}. */
  public static final class Builder {

    private @Nullable EventLoopGroup group;
    private @Nullable String customerKey;
    private List<String> seeds = List.of();
    private ClientOptions options = ClientOptions.defaults();

    private Builder() {}

    /** Sets the event loops for connections and requests. The caller must shut them down. */
    public Builder group(EventLoopGroup group) {
      this.group = group;
      return this;
    }

    /** Sets the API key of the customer. */
    public Builder customerKey(String customerKey) {
      this.customerKey = customerKey;
      return this;
    }

    /** Sets the hosts for the address lookup, each as {@code ip:port}. */
    public Builder seeds(List<String> seeds) {
      this.seeds = List.copyOf(seeds);
      return this;
    }

    /** Sets the timeouts and retry settings. */
    public Builder options(ClientOptions options) {
      this.options = options;
      return this;
    }

    /**
     * Returns the client.
     *
     * @throws IllegalStateException if the event loops, the key or the seeds are missing
     * @throws IllegalArgumentException if a seed is not of the form {@code ip:port}
     */
    public SamphiredykeClient build() {
      EventLoopGroup loops = group;
      String key = customerKey;
      if (loops == null || key == null || seeds.isEmpty()) {
        throw new IllegalStateException("group, customer key and seeds must be set");
      }
      return new SamphiredykeClient(this, loops, key, seeds);
    }
  }
}
