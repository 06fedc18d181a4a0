package io.samphiredyke.gateway.scheduling;

import static org.assertj.core.api.Assertions.assertThat;

import io.samphiredyke.core.pool.Outcome;
import io.samphiredyke.core.pool.PoolOptions;
import io.samphiredyke.core.pool.SlotRefusal;
import io.samphiredyke.core.pool.SlotRequest;
import io.samphiredyke.core.pool.WorkEstimate;
import io.samphiredyke.core.serving.EndpointRecord;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class SchedulerServiceTest {

  private static final int REQUESTS = 2_000;

  /** Stack size of the deployed process. */
  private static final long STACK_BYTES = 256 * 1024;

  private static final long FAR = 3_600_000_000_000L;

  private final List<Long> granted = new ArrayList<>();
  private final SchedulerService service =
      new SchedulerService(
          "self",
          new PoolOptions(1, REQUESTS, 0, 0, 300),
          new SplittableRandom(1),
          new SchedulerService.LocalDecisionListener() {
            @Override
            public void granted(SlotRequest request, String endpointId) {
              granted.add(request.id());
              if (isReturning) {
                release(request, endpointId);
              }
            }

            @Override
            public void refused(long slotRequestId, SlotRefusal refusal) {}
          },
          (host, message) -> {},
          () -> {});
  private boolean isReturning;

  private void release(SlotRequest request, String endpointId) {
    service.scheduler().release("s", endpointId, request.id(), Outcome.WITHDRAWN, 0, 0);
  }

  private SlotRequest submit(long id) {
    SlotRequest request =
        new SlotRequest(
            id, "self", "s", "r", 0, 1, WorkEstimate.PLAIN, "", 0, false, Set.of(), null, FAR, FAR);
    service.scheduler().submit(request, 0);
    return request;
  }

  /** Guards against slots that are lost, as each returned one is granted within the last grant. */
  @Test
  void slotsThatAllWaitingRequestsReturnStayUsable() throws InterruptedException {
    service
        .scheduler()
        .put(new EndpointRecord("e", "s", "10.0.0.1:80", "a", 1, false, 0, 0, 0, "v"), 0);
    SlotRequest first = submit(0);
    for (int id = 1; id <= REQUESTS; id++) {
      submit(id);
    }
    assertThat(service.scheduler().waitingCount("s")).isEqualTo(REQUESTS);
    isReturning = true;
    List<Throwable> errors = new ArrayList<>();
    Thread thread = new Thread(null, () -> release(first, "e"), "small stack", STACK_BYTES);
    thread.setUncaughtExceptionHandler((failed, error) -> errors.add(error));
    thread.start();
    thread.join();
    assertThat(errors).isEmpty();
    assertThat(granted).hasSize(REQUESTS + 1);
    submit(REQUESTS + 1);
    assertThat(granted).contains(REQUESTS + 1L);
  }
}
