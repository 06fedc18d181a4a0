package io.samphiredyke.net.control;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import java.time.Clock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

class ControlEventLoopTest {

  private final EmbeddedChannel channel = new EmbeddedChannel();
  private final List<Throwable> failures = new ArrayList<>();
  private final ControlEventLoop loop =
      new ControlEventLoop(channel.eventLoop(), Clock.systemUTC(), failures::add);
  private final AtomicInteger runs = new AtomicInteger();

  private void advanceSeconds(int seconds) {
    for (int i = 0; i < seconds; i++) {
      channel.advanceTimeBy(1, TimeUnit.SECONDS);
      channel.runScheduledPendingTasks();
    }
  }

  /** Guards against a periodic task that ends without a line at its first exception. */
  @Test
  void failureCostsOneRunOfAPeriodicTask() {
    channel.freezeTime();
    loop.scheduleWithFixedDelay(
        () -> {
          int run = runs.incrementAndGet();
          if (run == 2) {
            throw new IllegalStateException("run 2");
          }
          if (run == 3) {
            throw new AssertionError("run 3");
          }
        },
        Duration.ofSeconds(1));
    advanceSeconds(5);
    assertThat(runs).hasValue(5);
    assertThat(failures).extracting(Throwable::getMessage).containsExactly("run 2", "run 3");
  }

  /** Guards against a task that schedules itself and ends without a line at its first exception. */
  @Test
  void failureCostsOneRunOfATaskThatIsRepeatedWhileItIsNeeded() {
    channel.freezeTime();
    loop.repeatWhile(
        () -> {
          if (runs.incrementAndGet() == 2) {
            throw new IllegalStateException("run 2");
          }
          return runs.get() < 4;
        },
        Duration.ofSeconds(1),
        Duration.ofSeconds(1));
    advanceSeconds(6);
    assertThat(runs).hasValue(4);
    assertThat(failures).extracting(Throwable::getMessage).containsExactly("run 2");
  }

  @Test
  void failureOfADelayedActionIsReported() {
    channel.freezeTime();
    loop.schedule(
        () -> {
          throw new IllegalStateException("delayed");
        },
        Duration.ofSeconds(1));
    advanceSeconds(1);
    assertThat(failures).extracting(Throwable::getMessage).containsExactly("delayed");
  }
}
