package io.samphiredyke.net.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.samphiredyke.net.http.ConnectionLimit.Stage;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Which connection is closed when {@link ConnectionLimit} permits no further one. */
class ConnectionLimitTest {

  private final List<String> closed = new ArrayList<>();
  private final ConnectionLimit<Connection> limit = new ConnectionLimit<>(3, (stage, open) -> {});

  private final class Connection implements ConnectionLimit.Connection {
    private final String name;
    private final Stage stage;

    Connection(String name, Stage stage) {
      this.name = name;
      this.stage = stage;
    }

    @Override
    public Stage stage() {
      return stage;
    }

    @Override
    public void close() {
      closed.add(name);
      limit.ended(this);
    }
  }

  private Connection open(String name, Stage stage) {
    Connection connection = new Connection(name, stage);
    limit.opened(connection);
    return connection;
  }

  @Test
  void connectionThatIsIdleForLongestIsClosed() {
    open("receiving", Stage.RECEIVING);
    Connection served = open("served", Stage.IDLE);
    open("idle", Stage.IDLE);
    limit.becameIdle(served);
    open("new", Stage.IDLE);
    assertThat(closed).containsExactly("idle");
    assertThat(limit.open()).contains(served).hasSize(3);
  }

  @Test
  void connectionThatReceivesForLongestIsClosedIfNoneIsIdle() {
    open("processing", Stage.PROCESSING);
    open("first", Stage.RECEIVING);
    open("second", Stage.RECEIVING);
    open("new", Stage.IDLE);
    assertThat(closed).containsExactly("first");
  }

  @Test
  void newConnectionIsClosedIfAllOthersAreProcessing() {
    for (int i = 0; i < 4; i++) {
      open("number " + i, Stage.PROCESSING);
    }
    assertThat(closed).containsExactly("number 3");
    assertThat(limit.size()).isEqualTo(3);
    assertThat(limit.closed()).isEqualTo(1);
  }
}
