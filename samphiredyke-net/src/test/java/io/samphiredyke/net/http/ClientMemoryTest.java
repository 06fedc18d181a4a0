package io.samphiredyke.net.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Which connections give way when {@link ClientMemory} is used up. */
class ClientMemoryTest {

  private static final int LIMIT = 160_000;
  private static final int LARGE = 16_000;

  private final List<String> gaveWay = new ArrayList<>();
  private final ClientMemory memory =
      new ClientMemory(LIMIT, (name, bytes, used) -> gaveWay.add(name));

  private final class Connection implements ClientMemory.Holder {
    private final String name;
    private final ClientMemory.Share share = memory.open(this);
    private long held;
    private boolean isRunning;

    Connection(String name) {
      this.name = name;
    }

    Connection hold(long bytes) {
      held = bytes;
      share.set(bytes);
      return this;
    }

    Connection run() {
      isRunning = true;
      return this;
    }

    @Override
    public long reclaimableBytes() {
      return isRunning ? 0 : held;
    }

    @Override
    public void giveWay() {
      hold(0);
    }

    @Override
    public String name() {
      return name;
    }
  }

  @Test
  void largestGivesWayFirst() {
    Connection largest = new Connection("largest").hold(3 * LARGE);
    for (int i = 0; i < 4; i++) {
      new Connection("large").hold(LARGE);
    }
    new Connection("last").hold(LARGE);
    assertThat(gaveWay).containsExactly("largest");
    assertThat(largest.held).isZero();
    assertThat(memory.used()).isEqualTo(5 * LARGE);
  }

  @Test
  void crowdOfLargeRequestsLeavesRoomForSmallOnes() {
    for (int i = 0; i < 100; i++) {
      new Connection("crowd").run().hold(LARGE);
    }
    long before = memory.used();
    gaveWay.clear();
    for (int i = 0; before + i * 500 < LIMIT - 500; i++) {
      new Connection("ordinary").hold(500);
    }
    assertThat(gaveWay).isEmpty();
  }

  @Test
  void requestsThatWaitGiveWayToOrdinaryOnes() {
    for (int i = 0; i < 100; i++) {
      new Connection("crowd").hold(LARGE);
      new Connection("ordinary").hold(1_000);
    }
    assertThat(gaveWay).containsOnly("crowd");
    assertThat(memory.used()).isLessThanOrEqualTo(LIMIT);
  }

  @Test
  void newcomerGivesWayIfAllOthersRun() {
    for (int i = 0; i < 7; i++) {
      new Connection("running").hold(LARGE).run();
    }
    new Connection("newcomer").hold(LARGE);
    assertThat(gaveWay).containsExactly("newcomer");
    assertThat(memory.reclaimed()).isEqualTo(1);
  }

  @Test
  void closedShareHoldsNothing() {
    Connection connection = new Connection("closed").hold(LARGE);
    connection.share.close();
    connection.share.close();
    connection.hold(2 * LARGE);
    assertThat(memory.used()).isZero();
  }
}
