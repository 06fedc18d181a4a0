package io.samphiredyke.gateway.scheduling;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import io.samphiredyke.core.membership.Member;
import io.samphiredyke.core.pool.Outcome;
import io.samphiredyke.core.pool.PoolOptions;
import io.samphiredyke.core.pool.SlotRefusal;
import io.samphiredyke.core.pool.SlotRequest;
import io.samphiredyke.core.pool.WorkEstimate;
import io.samphiredyke.core.serving.EndpointRecord;
import io.samphiredyke.gateway.log.DecisionLog;
import io.samphiredyke.net.control.ControlEventLoop;
import java.io.OutputStream;
import java.time.Clock;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * A scheduler refused all requests for good while its endpoints were idle: slots that were released
 * long ago counted as held. The clock is paused.
 */
class LostReleaseTest {

  private static final long SECOND = 1_000_000_000;
  private static final PoolOptions OPTIONS = new PoolOptions(1, 100, 0, 0, 300);

  private final EmbeddedChannel channel = new EmbeddedChannel();
  private final SchedulerService scheduler =
      new SchedulerService(
          "b", OPTIONS, new SplittableRandom(1), new NoLocalRequests(), this::toClient, () -> {});
  private final SlotClient client =
      new SlotClient(
          new ControlEventLoop(channel.eventLoop(), Clock.systemUTC()),
          "a",
          OPTIONS,
          new SplittableRandom(2),
          new DecisionLog(OutputStream.nullOutputStream(), () -> 0),
          this::toScheduler);
  private int lostReports;

  @BeforeEach
  void startHosts() {
    channel.freezeTime();
    scheduler
        .scheduler()
        .put(new EndpointRecord("e", "s", "10.0.0.1:80", "a", 4, false, 0, 0, 0, "v"), now());
    List<Member> members =
        List.of(
            Member.builder().name("a").address("a").capacity(1).build(),
            Member.builder().name("b").address("b").capacity(100).build());
    client.selector().setMembers(members);
    client.start();
  }

  private long now() {
    return channel.eventLoop().ticker().nanoTime();
  }

  private void toClient(String host, SchedulingMessage message) {
    client.received("b", message);
  }

  /** Loses releases and some reports. */
  private void toScheduler(String host, SchedulingMessage message) {
    boolean isReport = message instanceof SchedulingMessage.HeldSlotsReport;
    if (!(message instanceof SchedulingMessage.Released) && !(isReport && lostReports-- > 0)) {
      scheduler.received("a", message, now());
    }
  }

  @ParameterizedTest
  @ValueSource(ints = {0, 3})
  void slotIsFreedAlthoughItsReleaseIsLost(int lost) {
    lostReports = lost;
    long deadline = now() + SECOND;
    long id =
        client.acquire(
            new SlotRequirements(
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
                deadline,
                deadline),
            new ReleasingListener());
    assertThat(scheduler.scheduler().endpointOf("s", id)).isEqualTo("e");
    for (int i = 0; i < 50; i++) {
      channel.advanceTimeBy(100, TimeUnit.MILLISECONDS);
      channel.runScheduledPendingTasks();
    }
    assertThat(scheduler.scheduler().endpointOf("s", id)).isNull();
  }

  private static final class ReleasingListener implements AcquisitionListener {

    @Override
    public void granted(SlotHandle slot) {
      slot.release(Outcome.SERVED);
    }

    @Override
    public void refused(SlotRefusal refusal) {}
  }

  private static final class NoLocalRequests implements SchedulerService.LocalDecisionListener {

    @Override
    public void granted(SlotRequest request, String endpointId) {}

    @Override
    public void refused(long slotRequestId, SlotRefusal refusal) {}
  }
}
