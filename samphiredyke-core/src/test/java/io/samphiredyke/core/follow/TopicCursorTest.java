package io.samphiredyke.core.follow;

import static org.assertj.core.api.Assertions.assertThat;

import io.samphiredyke.core.follow.TopicCursor.Update;
import org.junit.jupiter.api.Test;

class TopicCursorTest {

  private static TopicCursor at(long era, long offset) {
    TopicCursor cursor = new TopicCursor();
    assertThat(cursor.acceptSnapshot(era, offset)).isTrue();
    return cursor;
  }

  @Test
  void newEraNeedsSnapshotAlthoughOffsetIsKnown() {
    TopicCursor cursor = at(1, 10);
    assertThat(cursor.observeEra(2)).isTrue();
    assertThat(cursor.needsSnapshot()).isTrue();
    assertThat(cursor.acceptRecords(2, 12)).isFalse();
    assertThat(cursor.acceptSnapshot(2, 8)).isTrue();
    assertThat(cursor.offset()).isEqualTo(8);
  }

  @Test
  void recordsOfNewEraAreNotAppliedAtOldOffset() {
    TopicCursor cursor = at(1, 10);
    assertThat(cursor.acceptRecords(2, 12)).isFalse();
    assertThat(cursor.needsSnapshot()).isTrue();
  }

  @Test
  void lateDataOfOlderEraIsIgnored() {
    TopicCursor cursor = at(2, 8);
    assertThat(cursor.acceptRecords(1, 11)).isFalse();
    assertThat(cursor.acceptSnapshot(1, 11)).isFalse();
    assertThat(cursor.observeEra(1)).isFalse();
    assertThat(cursor.classify(1, 0, 11)).isEqualTo(Update.OUTDATED);
    assertThat(cursor.offset()).isEqualTo(8);
  }

  @Test
  void updateIsAppliedOnlyWithoutGap() {
    TopicCursor cursor = at(2, 8);
    assertThat(cursor.classify(2, 8, 9)).isEqualTo(Update.APPLY);
    assertThat(cursor.classify(2, 9, 10)).isEqualTo(Update.GAP);
    assertThat(cursor.classify(2, 5, 8)).isEqualTo(Update.CURRENT);
    assertThat(cursor.classify(3, 0, 9)).isEqualTo(Update.GAP);
    assertThat(new TopicCursor().classify(2, 0, 9)).isEqualTo(Update.GAP);
  }

  @Test
  void storeWithoutEraIsFollowedByOffset() {
    TopicCursor cursor = at(TopicCursor.NO_ERA, 3);
    assertThat(cursor.observeEra(TopicCursor.NO_ERA)).isFalse();
    assertThat(cursor.acceptRecords(TopicCursor.NO_ERA, 5)).isTrue();
    assertThat(cursor.offset()).isEqualTo(5);
  }

  @Test
  void firstEraIsNoRestore() {
    TopicCursor cursor = new TopicCursor();
    assertThat(cursor.observeEra(4)).isFalse();
    assertThat(cursor.acceptSnapshot(4, 7)).isTrue();
  }
}
