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

/** Sends the requests of a schedule at their arrival times, regardless of earlier requests. */
final class LoadRun {

  /** Extra wait beyond the service's deadline, to distinguish late from unknown outcomes. */
  private static final Duration LATE_RESPONSE_GRACE = Duration.ofSeconds(10);

  private static final int PERCENT = 100;
  private static final int PROGRESS_STEP_PERCENT = 10;

  private final EventLoopGroup group;
  private final Map<String, SamphiredykeClient> clients = new HashMap<>();
  private final IntConsumer progress;
  private final AtomicInteger started = new AtomicInteger();

  /**
   * Creates a run.
   *
   * @param group event loops that send the requests
   * @param plan the load plan
   * @param seeds addresses of the hosts from which clients obtain their address list
   * @param progress called with the percentage of requests started, in steps of 10
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

  /** Sends all requests; the future completes when every request has an outcome. */
  CompletableFuture<List<Observation>> start(List<PlannedRequest> schedule) {
    List<Observation> observations = new ArrayList<>();
    List<CompletableFuture<Void>> completions = new ArrayList<>();
    for (PlannedRequest request : schedule) {
      EventLoop loop = group.next();
      Observation observation = new Observation(request, loop.ticker()::nanoTime);
      CompletableFuture<Void> completion = new CompletableFuture<>();
      observations.add(observation);
      completions.add(completion);
      observation.recordStart(loop.ticker().nanoTime() + request.arrivalNanos());
      loop.schedule(
          () -> sendAndRecord(observation, completion, schedule.size()),
          request.arrivalNanos(),
          TimeUnit.NANOSECONDS);
    }
    return CompletableFuture.allOf(completions.toArray(CompletableFuture[]::new))
        .thenApply(ignored -> observations);
  }

  private void sendAndRecord(
      Observation observation, CompletableFuture<Void> completion, int total) {
    reportProgress(total);
    send(observation)
        .whenComplete(
            (response, failure) -> {
              observation.recordEnd(response, failure);
              completion.complete(null);
            });
  }

  private CompletableFuture<Response> send(Observation observation) {
    PlannedRequest request = observation.request();
    LoadPlan.Service service = request.service();
    SamphiredykeClient client = clients.get(request.customer().name());
    if (client == null) {
      throw new IllegalStateException("no client for customer " + request.customer().name());
    }
    Duration deadline = Duration.ofMillis(service.deadlineMillis()).plus(LATE_RESPONSE_GRACE);
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
    int previousPercent = (count - 1) * PERCENT / total;
    if (percent / PROGRESS_STEP_PERCENT > previousPercent / PROGRESS_STEP_PERCENT) {
      progress.accept(percent / PROGRESS_STEP_PERCENT * PROGRESS_STEP_PERCENT);
    }
  }

  void close() {
    clients.values().forEach(SamphiredykeClient::close);
  }
}
