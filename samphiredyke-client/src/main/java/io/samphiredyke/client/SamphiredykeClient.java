package io.samphiredyke.client;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.samphiredyke.client.internal.AddressBook;
import io.samphiredyke.client.internal.Call;
import io.samphiredyke.client.internal.Connections;
import io.samphiredyke.client.internal.HostPorts;
import io.samphiredyke.client.internal.RequestRun;
import io.samphiredyke.client.internal.RetryBudget;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.jspecify.annotations.Nullable;

/**
 * Makes requests of one customer and sees each through to its outcome.
 *
 * <p>The client asks a seed for addresses and a ticket, numbers the requests under the ticket, and
 * repeats a request under the same id, on fresh connections, until the system states its outcome.
 * It takes a new id only after an answer that says that the old one did not run. A streamed answer
 * is reported as whole only if its offsets have no gap and its end was seen.
 *
 * <p>A returned future fails with a {@link RequestException}: {@link NotExecutedException}, {@link
 * OutcomeUnknownException}, {@link ResponseUnavailableException} or {@link
 * DeadlineExceededException}. Safe for use by several threads.
 */
public final class SamphiredykeClient implements AutoCloseable {

  private final EventLoopGroup group;
  private final Connections connections;
  private final RequestRun.Client shared;

  private SamphiredykeClient(
      Builder builder, EventLoopGroup group, String customerKey, List<String> seeds) {
    this.group = group;
    this.connections = Connections.create(group, builder.options);
    EventLoop loop = group.next();
    AddressBook book =
        new AddressBook(
            connections.fresh(),
            HostPorts.parse(seeds),
            customerKey,
            builder.options.addressTimeout(),
            loop.ticker());
    RetryBudget budget = new RetryBudget(builder.options.retryRatio());
    this.shared = new RequestRun.Client(connections, book, budget, builder.options, customerKey);
  }

  /** Returns a builder. */
  public static Builder builder() {
    return new Builder();
  }

  /** Asks for a chat completion, and reports its progress to a listener. */
  public CompletableFuture<Response> chat(ChatRequest request, ResponseListener listener) {
    return run(Call.of(request), listener);
  }

  /** Asks for a chat completion. */
  public CompletableFuture<Response> chat(ChatRequest request) {
    return chat(request, ResponseListener.NONE);
  }

  /** Calls a plain service, and reports the request ids used to a listener. */
  public CompletableFuture<Response> call(ServiceCall call, ResponseListener listener) {
    return run(Call.of(call), listener);
  }

  /** Calls a plain service. */
  public CompletableFuture<Response> call(ServiceCall call) {
    return call(call, ResponseListener.NONE);
  }

  private CompletableFuture<Response> run(Call call, ResponseListener listener) {
    return new RequestRun(shared, call, listener, group.next()).start();
  }

  /** Closes the idle connections; requests under way go on. */
  @Override
  public void close() {
    connections.close();
  }

  /** Collects the settings of a client. */
  public static final class Builder {

    private @Nullable EventLoopGroup group;
    private @Nullable String customerKey;
    private List<String> seeds = List.of();
    private ClientOptions options = ClientOptions.defaults();

    private Builder() {}

    /** Sets the event loops that connections and requests run on; the caller shuts them down. */
    public Builder group(EventLoopGroup group) {
      this.group = group;
      return this;
    }

    /** Sets the customer's key. */
    public Builder customerKey(String customerKey) {
      this.customerKey = customerKey;
      return this;
    }

    /** Sets the addresses to ask for addresses, each as {@code ip:port}. */
    public Builder seeds(List<String> seeds) {
      this.seeds = List.copyOf(seeds);
      return this;
    }

    /** Sets the time limits and retries. */
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
        throw new IllegalStateException("a client needs a group, a customer key and seeds");
      }
      return new SamphiredykeClient(this, loops, key, seeds);
    }
  }
}
