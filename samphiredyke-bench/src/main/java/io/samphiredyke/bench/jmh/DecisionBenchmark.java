package io.samphiredyke.bench.jmh;

import io.samphiredyke.core.broker.BrokerDecision;
import io.samphiredyke.core.broker.BrokerOptions;
import io.samphiredyke.core.broker.BrokerStatus;
import io.samphiredyke.core.broker.EndpointBroker;
import io.samphiredyke.core.broker.Grant;
import io.samphiredyke.core.broker.Release;
import io.samphiredyke.core.broker.SlotRefusal;
import io.samphiredyke.core.broker.SlotRequest;
import io.samphiredyke.core.invariant.InvariantChecker;
import io.samphiredyke.core.routing.EndpointOption;
import io.samphiredyke.core.routing.EndpointRanking;
import io.samphiredyke.core.routing.PrefixCacheIndex;
import io.samphiredyke.core.routing.PromptFingerprint;
import io.samphiredyke.core.routing.RequestEstimate;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;

/**
 * Measures the time of one scheduling decision at a small and at the largest deployment size.
 *
 * <p>A site of {@code endpoints} endpoints serves {@code endpoints / pool} models, and each request
 * may go to the endpoints of one pool. All brokers are at their limit and have queued requests.
 */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
public class DecisionBenchmark {

  private static final int TIERS = 4;
  private static final int QUEUED_REQUESTS = 500;
  private static final int CONCURRENCY_LIMIT = 32;
  private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
  private static final int PROMPT_CHARS = 4_096;
  private static final int PROMPTS = 256;

  /** Number of endpoints of the site, of endpoints per pool, and of customers. */
  @Param({"9:9:5", "870:31:990"})
  public String size = "9:9:5";

  private final List<EndpointBroker> brokers = new ArrayList<>();
  private final Map<Integer, SlotRequest> running = new HashMap<>();
  private final List<List<String>> pools = new ArrayList<>();
  private final List<PromptFingerprint> prompts = new ArrayList<>();
  private final Random random = new Random(1);
  private final PrefixCacheIndex prefixes = new PrefixCacheIndex(6_000);
  private final EndpointRanking ranking = new EndpointRanking(prefixes);
  private int customers;
  private long nextRequestNumber;
  private long now;

  /** Fills the brokers, the broker statuses and the prefix cache index. */
  @Setup
  public void fill() {
    String[] parts = size.split(":", -1);
    int endpoints = Integer.parseInt(parts[0]);
    int pool = Integer.parseInt(parts[1]);
    customers = Integer.parseInt(parts[2]);
    for (int index = 0; index < PROMPTS; index++) {
      String text = ("prompt " + index % 16 + " ").repeat(PROMPT_CHARS / 8);
      prompts.add(PromptFingerprint.of(text.substring(0, PROMPT_CHARS)));
    }
    for (int index = 0; index < endpoints; index++) {
      addEndpoint(index, pool);
    }
  }

  private void addEndpoint(int index, int pool) {
    String name = "endpoint-" + index;
    if (index % pool == 0) {
      pools.add(new ArrayList<>());
    }
    pools.get(pools.size() - 1).add(name);
    BrokerOptions options =
        BrokerOptions.builder()
            .initialLimit(CONCURRENCY_LIMIT)
            .maximumLimit(CONCURRENCY_LIMIT)
            .build();
    EndpointBroker broker = new EndpointBroker(name, options, InvariantChecker.throwing());
    for (int count = 0; count < CONCURRENCY_LIMIT + QUEUED_REQUESTS; count++) {
      recordGrants(index, broker.submit(slotRequest(name), now));
    }
    brokers.add(broker);
    List<Integer> queued = List.of(9, 9, 9, 9);
    List<Long> waits = List.of(0L, SECOND / 10, SECOND, 9 * SECOND);
    double rate = 2_000 + random.nextInt(10_000);
    ranking.updateStatus(new BrokerStatus(name, false, 9, 9, queued, waits, rate, SECOND / 30));
    for (int prompt = 0; prompt < PROMPTS; prompt += 16) {
      prefixes.dispatched(name, prompts.get(random.nextInt(PROMPTS)));
    }
  }

  private SlotRequest slotRequest(String endpoint) {
    return SlotRequest.builder()
        .requestId("request-" + nextRequestNumber++)
        .requester("entry-" + random.nextInt(6))
        .endpoint(endpoint)
        .service("service")
        .customer("customer-" + random.nextInt(customers))
        .tierRank(random.nextInt(TIERS))
        .customerWeight(1 + random.nextInt(3))
        .deadline(now + (3_600 + random.nextInt(100)) * SECOND)
        .promptTokens(10)
        .outputTokens(10 + random.nextInt(200))
        .receivedAt(now)
        .build();
  }

  /** Records the latest grant of a broker, which the benchmark releases next. */
  private void recordGrants(int index, List<BrokerDecision> decisions) {
    for (BrokerDecision decision : decisions) {
      if (decision instanceof Grant grant) {
        running.put(index, grant.request());
      }
    }
  }

  /**
   * Queues one slot request at a random broker and releases a slot, which grants another request.
   */
  @Benchmark
  public int claimAndGrant() {
    int index = random.nextInt(brokers.size());
    EndpointBroker broker = brokers.get(index);
    now += 1_000;
    int refused = 0;
    for (BrokerDecision decision : broker.submit(slotRequest("endpoint"), now)) {
      refused += decision instanceof SlotRefusal ? 1 : 0;
    }
    SlotRequest completed = running.get(index);
    if (completed == null) {
      throw new IllegalStateException("broker " + index + " has not granted a slot");
    }
    Release release =
        new Release(completed.key(), Release.Outcome.COMPLETED, SECOND / 5, SECOND / 30, 50);
    List<BrokerDecision> decisions = broker.release(release, now);
    recordGrants(index, decisions);
    return refused + decisions.size();
  }

  /** Ranks the endpoints of a random pool for one request. */
  @Benchmark
  public List<EndpointOption> choose() {
    List<String> pool = pools.get(random.nextInt(pools.size()));
    PromptFingerprint prompt = prompts.get(random.nextInt(PROMPTS));
    return ranking.rank(pool, new RequestEstimate(random.nextInt(TIERS), 1_024, 200), prompt);
  }
}
