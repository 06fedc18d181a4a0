package io.samphiredyke.gateway.scheduling;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.samphiredyke.core.pool.PoolOptions;
import io.samphiredyke.core.pool.SlotRefusal;
import io.samphiredyke.core.pool.SlotRequest;
import io.samphiredyke.core.pool.WorkEstimate;
import io.samphiredyke.core.serving.EndpointRecord;
import io.samphiredyke.gateway.log.DecisionLog;
import io.samphiredyke.net.control.ControlEventLoop;
import java.io.ByteArrayOutputStream;
import java.time.Clock;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentLinkedQueue;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Decisions whose delivery submits another request, as that of a pipelining caller does. */
@Timeout(60)
class NestedDecisionTest {

  private static final long MILLI = 1_000_000;
  private static final PoolOptions OPTIONS = new PoolOptions(1, 100, 0, 0, 300);

  /** Decisions on each request, in their order. */
  private final List<String> decisions = new ArrayList<>();

  private boolean hasSubmittedNext;
  private SchedulerService service;

  private static EndpointRecord endpoint(String id, int slots) {
    return new EndpointRecord(id, "s", "10.0.0.1:80", "a", slots, false, 0, 0, 0, "v");
  }

  private void submit(long id, long now, long start) {
    service
        .scheduler()
        .submit(
            new SlotRequest(
                id,
                "self",
                "s",
                "r",
                0,
                1,
                WorkEstimate.PLAIN,
                "",
                0,
                false,
                Set.of(),
                null,
                start,
                start),
            now);
  }

  private SchedulerService create(long nextAt) {
    return new SchedulerService(
        "self",
        OPTIONS,
        new SplittableRandom(1),
        new SchedulerService.LocalDecisionListener() {
          @Override
          public void granted(SlotRequest request, String endpointId) {
            decisions.add("" + request.id());
          }

          @Override
          public void refused(long slotRequestId, SlotRefusal refusal) {
            decisions.add("" + slotRequestId);
            if (!hasSubmittedNext) {
              hasSubmittedNext = true;
              submit(100, nextAt, nextAt + 5_000 * MILLI);
            }
          }
        },
        (host, message) -> {},
        () -> {});
  }

  /**
   * Guards against a request that is granted, or refused, twice, or both. The limit of the endpoint
   * permits a grant between the begin of the check of the queue and the nested submission.
   */
  @ParameterizedTest
  @ValueSource(doubles = {1, 0.5})
  void eachRequestGetsOneDecision(double capacityShare) {
    for (long tickAt = 1; tickAt <= 4_000; tickAt++) {
      decisions.clear();
      hasSubmittedNext = false;
      long now = tickAt * MILLI;
      service = create(now + MILLI);
      service.scheduler().put(endpoint("e", 50), 0);
      service.scheduler().setCapacityShare(capacityShare, 0);
      service.scheduler().limit("e", 1, 0);
      for (long id = 1; id <= 6; id++) {
        submit(id, 0, now - 1);
      }
      service.scheduler().tick(now);
      service.scheduler().tick(now + 5_000 * MILLI);
      assertThat(decisions).as("queue checked at %d ms", tickAt).doesNotHaveDuplicates();
    }
  }

  /** Guards against a refusal of a request that runs. */
  @Test
  void grantedRequestIsNotRefused() throws Exception {
    EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    EventLoop loop = group.next();
    ControlEventLoop control = new ControlEventLoop(loop, Clock.systemUTC());
    DecisionLog log = new DecisionLog(new ByteArrayOutputStream(), System::currentTimeMillis);
    SlotClient client =
        new SlotClient(control, "self", OPTIONS, new SplittableRandom(1), log, (to, message) -> {});
    ConcurrentLinkedQueue<Integer> decided = new ConcurrentLinkedQueue<>();
    loop.submit(() -> acquireFour(client, control, decided)).get();
    while (new HashSet<>(decided).size() < 4) {
      Thread.sleep(10);
    }
    group.shutdownGracefully();
    assertThat(decided).containsExactlyInAnyOrder(0, 1, 2, 3);
  }

  /** Acquires four slots where two are free; a refusal brings another endpoint. */
  private static void acquireFour(
      SlotClient client, ControlEventLoop control, ConcurrentLinkedQueue<Integer> decided) {
    long now = control.nanoTime();
    long deadline = now + 60 * MILLI;
    client.scheduler().setCapacityShare(0.5, now);
    client.scheduler().put(endpoint("e", 2), now);
    for (int i = 0; i < 4; i++) {
      int number = i;
      client.acquire(
          new SlotRequirements(
              "s", "r", 0, 1, WorkEstimate.PLAIN, "", 0, false, Set.of(), null, deadline, deadline),
          new AcquisitionListener() {
            @Override
            public void granted(SlotHandle slot) {
              decided.add(number);
            }

            @Override
            public void refused(SlotRefusal refusal) {
              decided.add(number);
              client.scheduler().put(endpoint("f", 4), control.nanoTime());
            }
          });
    }
  }
}
