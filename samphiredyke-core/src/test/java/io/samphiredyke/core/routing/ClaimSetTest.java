package io.samphiredyke.core.routing;

import static org.assertj.core.api.Assertions.assertThat;

import io.samphiredyke.core.broker.RefusalReason;
import io.samphiredyke.core.broker.SlotRefusal;
import io.samphiredyke.core.broker.SlotRequest;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class ClaimSetTest {

  private final SlotRequest template = SlotRequest.builder().requestId("r").build();

  private static List<EndpointOption> options(String... endpoints) {
    List<EndpointOption> options = new ArrayList<>();
    for (String endpoint : endpoints) {
      options.add(new EndpointOption(endpoint, 0, 0, 0));
    }
    return options;
  }

  private static SlotRequest sent(List<SlotRequestAction> actions, int index) {
    return ((SlotRequestAction.Send) actions.get(index)).request();
  }

  @Test
  void firstGrantBindsAndTheOthersAreWithdrawn() {
    SlotRequestSet set = new SlotRequestSet(template, options("a", "b"), 2);
    List<SlotRequestAction> sent = set.start(0);
    SlotRequest first = sent(sent, 0);
    SlotRequest second = sent(sent, 1);
    assertThat(set.granted("b", second.key(), 1))
        .containsExactly(
            new SlotRequestAction.Dispatch(second),
            new SlotRequestAction.Withdraw("a", first.key()));
    assertThat(set.granted("a", first.key(), 2))
        .containsExactly(new SlotRequestAction.Withdraw("a", first.key()));
  }

  @Test
  void requestIsShedOnlyWhenAllEndpointsHaveRefused() {
    SlotRequestSet set = new SlotRequestSet(template, options("a", "b", "c"), 1);
    SlotRequest claim = sent(set.start(0), 0);
    for (int refusals = 0; refusals < 2; refusals++) {
      claim = sent(set.refused(new SlotRefusal(claim, RefusalReason.QUEUE_FULL, 9), 1), 0);
      assertThat(set.isOpen()).isTrue();
    }
    List<SlotRequestAction> last =
        set.refused(new SlotRefusal(claim, RefusalReason.DEADLINE, 5), 1);
    assertThat(last)
        .singleElement()
        .isInstanceOfSatisfying(
            SlotRequestAction.Shed.class,
            shed -> {
              assertThat(shed.isCausedByLoad()).isTrue();
              assertThat(shed.retryAfterNanos()).isEqualTo(5);
            });
  }

  @Test
  void claimIsRepeatedAtNewBrokerUnderNewAttempt() {
    SlotRequestSet set = new SlotRequestSet(template, options("a"), 1);
    SlotRequest claim = sent(set.start(0), 0);
    SlotRequest again = sent(set.brokerChanged("a", 1), 0);
    assertThat(again.attempt()).isEqualTo(claim.attempt() + 1);
    assertThat(set.granted("a", claim.key(), 2))
        .containsExactly(new SlotRequestAction.Withdraw("a", claim.key()));
  }
}
