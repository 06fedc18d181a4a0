package io.samphiredyke.standins.engine;

import io.samphiredyke.net.http.HttpClient;
import io.samphiredyke.net.http.HttpClientOptions;
import io.samphiredyke.net.http.HttpRequest;
import io.samphiredyke.net.http.StreamListener;
import io.samphiredyke.standins.server.StandInRuntime;
import io.samphiredyke.standins.server.Timers;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/**
 * Downloads a model's weights from the weight store, or waits for a fixed time if there is none.
 */
final class WeightFetcher {

  private static final Duration INACTIVITY_TIMEOUT = Duration.ofSeconds(30);
  private static final int STATUS_OK = 200;

  private final EngineSettings settings;
  private final StandInRuntime runtime;
  private final Timers timers;
  private final HttpClient client;

  WeightFetcher(EngineSettings settings, StandInRuntime runtime, Timers timers) {
    this.settings = settings;
    this.runtime = runtime;
    this.timers = timers;
    this.client = new HttpClient(runtime.loop(), HttpClientOptions.defaults());
  }

  /**
   * Fetches the weights for an order.
   *
   * @return whether they were fetched completely; the future completes on the event loop
   */
  CompletableFuture<Boolean> fetch(Order order) {
    CompletableFuture<Boolean> fetched = new CompletableFuture<>();
    InetSocketAddress store = settings.weightStore();
    if (store == null) {
      timers.scheduleAfter(settings.loadTime().toNanos(), () -> fetched.complete(true));
      return fetched;
    }
    String path = "/v1/weights/" + order.model() + "/" + order.versionOrDefault();
    HttpRequest request = HttpRequest.get(store, path).timeout(INACTIVITY_TIMEOUT).build();
    client.open(request, new DiscardingListener(fetched));
    return fetched.thenApplyAsync(isComplete -> isComplete, runtime.loop());
  }

  /** Reads the response body and discards it. */
  private static final class DiscardingListener implements StreamListener {

    private final CompletableFuture<Boolean> fetched;
    private int status;

    DiscardingListener(CompletableFuture<Boolean> fetched) {
      this.fetched = fetched;
    }

    @Override
    public void onHeaders(int status, Map<String, String> headers) {
      this.status = status;
    }

    @Override
    public void onChunk(byte[] bytes) {}

    @Override
    public void onEnd() {
      fetched.complete(status == STATUS_OK);
    }

    @Override
    public void onFailure(Throwable cause) {
      fetched.complete(false);
    }
  }
}
