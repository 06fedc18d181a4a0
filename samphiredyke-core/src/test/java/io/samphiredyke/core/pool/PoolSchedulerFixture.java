package io.samphiredyke.core.pool;

import io.samphiredyke.core.serving.EndpointRecord;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;

/** A scheduler without endpoints, with the decisions that it made and a usual request. */
abstract class PoolSchedulerFixture implements PoolListener {

  static final long MILLI = 1_000_000;

  final Map<Long, String> grants = new HashMap<>();
  final List<Long> grantOrder = new ArrayList<>();
  final Map<Long, SlotRefusal> refusals = new HashMap<>();
  final PoolScheduler scheduler =
      new PoolScheduler(new PoolOptions(0.2, 10, 0, 0, 300), this, new SplittableRandom(7));

  @Override
  public void granted(SlotRequest request, String endpointId) {
    grants.put(request.id(), endpointId);
    grantOrder.add(request.id());
  }

  @Override
  public void refused(SlotRequest request, SlotRefusal refusal) {
    refusals.put(request.id(), refusal);
  }

  static EndpointRecord endpoint(String id, int slots) {
    return new EndpointRecord(id, "s", "10.0.0.1:80", "a", slots, false, 0, 1, 0);
  }

  static SlotRequest request(long id, int rank, long now, long startWithinMillis) {
    return request(id, "", rank, now, startWithinMillis);
  }

  static SlotRequest request(long id, String customer, int rank, long now, long startWithinMillis) {
    return new SlotRequest(
        id,
        "host",
        "s",
        rank,
        1,
        new WorkEstimate(4_000, 120, List.of(new PromptPart(id, 4_000))),
        customer,
        0,
        false,
        Set.of(),
        now + 800 * MILLI,
        now + startWithinMillis * MILLI);
  }
}
