package io.samphiredyke.bench.load;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.samphiredyke.client.ChatMessage;
import io.samphiredyke.client.ChatRequest;
import io.samphiredyke.client.Response;
import io.samphiredyke.client.SamphiredykeClient;
import io.samphiredyke.client.ServiceCall;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.IntConsumer;

/** Makes the requests of a schedule, each when it is due, whatever became of earlier ones. */
final class LoadRun {

  /** How much longer than the service's deadline a caller waits, to tell late from unknown. */
  private static final Duration PATIENCE = Duration.ofSeconds(10);

  private static final int PERCENT = 100;
  private static final int PROGRESS_STEP = 10;

  private final EventLoopGroup group;
  private final Map<String, SamphiredykeClient> clients = new HashMap<>();
  private final IntConsumer progress;
  private final AtomicInteger started = new AtomicInteger();

  /**
   * Creates a run.
   *
   * @param seeds the addresses to ask for addresses
   * @param progress is told at each tenth of the requests made how many percent that are
   */
  LoadRun(EventLoopGroup group, LoadPlan plan, List<String> seeds, IntConsumer progress) {
    this.group = group;
    this.progress = progress;
    for (LoadPlan.Customer customer : plan.customers()) {
      SamphiredykeClient client =
          SamphiredykeClient.builder()
              .group(group)
              .customerKey(customer.key())
              .seeds(seeds)
              .build();
      clients.put(customer.name(), client);
    }
  }

  /** Makes all requests; the future completes when each has its outcome. */
  CompletableFuture<List<Observation>> start(List<PlannedRequest> schedule) {
    List<Observation> observations = new ArrayList<>();
    List<CompletableFuture<Void>> ends = new ArrayList<>();
    for (PlannedRequest request : schedule) {
      EventLoop loop = group.next();
      Observation observation = new Observation(request, loop.ticker()::nanoTime);
      CompletableFuture<Void> end = new CompletableFuture<>();
      observations.add(observation);
      ends.add(end);
      observation.started(loop.ticker().nanoTime() + request.arrivalNanos());
      loop.schedule(
          () -> make(observation, end, schedule.size()),
          request.arrivalNanos(),
          TimeUnit.NANOSECONDS);
    }
    return CompletableFuture.allOf(ends.toArray(CompletableFuture[]::new))
        .thenApply(done -> observations);
  }

  private void make(Observation observation, CompletableFuture<Void> end, int total) {
    reportProgress(total);
    send(observation)
        .whenComplete(
            (answer, failure) -> {
              observation.ended(answer, failure);
              end.complete(null);
            });
  }

  private CompletableFuture<Response> send(Observation observation) {
    PlannedRequest request = observation.request();
    LoadPlan.Service service = request.service();
    SamphiredykeClient client = clients.get(request.customer().name());
    if (client == null) {
      throw new IllegalStateException("no client for " + request.customer().name());
    }
    Duration deadline = Duration.ofMillis(service.deadlineMillis()).plus(PATIENCE);
    if (service.kind() == LoadPlan.Kind.PLAIN) {
      byte[] body = request.text().getBytes(StandardCharsets.UTF_8);
      String path = service.path() == null ? "call" : service.path();
      ServiceCall call = ServiceCall.of(service.name(), path, body).withDeadline(deadline);
      return client.call(call, observation);
    }
    ChatRequest chat =
        ChatRequest.builder(service.name())
            .message(ChatMessage.user(request.text()))
            .maxTokens(request.maxTokens())
            .deadline(deadline)
            .build();
    return client.chat(chat, observation);
  }

  private void reportProgress(int total) {
    int count = started.incrementAndGet();
    int percent = count * PERCENT / total;
    int before = (count - 1) * PERCENT / total;
    if (percent / PROGRESS_STEP > before / PROGRESS_STEP) {
      progress.accept(percent / PROGRESS_STEP * PROGRESS_STEP);
    }
  }

  void close() {
    clients.values().forEach(SamphiredykeClient::close);
  }
}
