package io.samphiredyke.standins.log;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.databind.node.IntNode;
import java.time.Duration;
import org.junit.jupiter.api.Test;

class LogStreamTest {

  private final LogStream stream = new LogStream(new LogOptions(3, Duration.ofMillis(100), 10));

  @Test
  void readsInOrderFromOffset() {
    append(3, 0);
    LogPage page = stream.read(1, 10, 0);
    assertThat(page.records()).extracting(LogRecord::offset).containsExactly(1L, 2L);
    assertThat(page.next()).isEqualTo(3);
    assertThat(stream.read(0, 2, 0).next()).isEqualTo(2);
  }

  @Test
  void dropsOldestRecordsBeyondRetentionCount() {
    append(5, 0);
    assertThat(stream.read(2, 10, 0).first()).isEqualTo(2);
    assertThatThrownBy(() -> stream.read(1, 10, 0))
        .isInstanceOfSatisfying(
            OffsetExpiredException.class, e -> assertThat(e.first()).isEqualTo(2));
  }

  @Test
  void dropsExpiredRecordsAndKeepsOffsets() {
    append(2, 0);
    assertThat(stream.read(0, 10, 100).records()).hasSize(2);
    assertThatThrownBy(() -> stream.read(0, 10, 101)).isInstanceOf(OffsetExpiredException.class);
    assertThat(stream.append(IntNode.valueOf(9), 101)).isEqualTo(2);
  }

  @Test
  void readBeyondEndReturnsEnd() {
    append(1, 0);
    assertThat(stream.read(9, 10, 0)).isEqualTo(new LogPage(0, 1, java.util.List.of()));
  }

  private void append(int records, long time) {
    for (int i = 0; i < records; i++) {
      stream.append(IntNode.valueOf(i), time);
    }
  }
}
