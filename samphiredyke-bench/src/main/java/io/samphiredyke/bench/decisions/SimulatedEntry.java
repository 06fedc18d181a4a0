package io.samphiredyke.bench.decisions;

import io.samphiredyke.core.broker.BrokerDecision;
import io.samphiredyke.core.broker.Grant;
import io.samphiredyke.core.broker.HeldGrant;
import io.samphiredyke.core.broker.Release;
import io.samphiredyke.core.broker.SlotRefusal;
import io.samphiredyke.core.broker.SlotRequest;
import io.samphiredyke.core.broker.SlotRequestKey;
import io.samphiredyke.core.broker.StreamSample;
import io.samphiredyke.core.routing.CacheEvent;
import io.samphiredyke.core.routing.EndpointOption;
import io.samphiredyke.core.routing.EndpointRanking;
import io.samphiredyke.core.routing.LengthEstimator;
import io.samphiredyke.core.routing.PrefixCacheIndex;
import io.samphiredyke.core.routing.PromptFingerprint;
import io.samphiredyke.core.routing.RequestEstimate;
import io.samphiredyke.core.routing.SlotRequestAction;
import io.samphiredyke.core.routing.SlotRequestSet;
import io.samphiredyke.standins.engine.Prompt;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.HdrHistogram.Histogram;
import org.jspecify.annotations.Nullable;

/** Simulated entry process with the production endpoint ranking and slot request logic. */
final class SimulatedEntry implements RequestRun.Observer {

  /** Blocks per endpoint that the prefix cache index holds. */
  private static final int PREFIX_INDEX_BLOCKS = 6_000;

  private static final long NANOS_PER_MICRO = 1_000;
  private static final long MAX_TRACKED_MICROS = 600_000_000L;
  private static final double HIGH_PERCENTILE = 95;

  /** Standard deviations above the median for the upper bound of the output length. */
  private static final double UPPER_BOUND_DEVIATIONS = 2.3;

  private static final long SAMPLE_INTERVAL_NANOS = SimulatedClock.seconds(0.5);

  private final String incarnation;
  private final BrokeredDispatcher network;
  private final BrokeredOptions options;
  private final SimulatedClock clock;
  private final PrefixCacheIndex prefixes = new PrefixCacheIndex(PREFIX_INDEX_BLOCKS);
  private final EndpointRanking ranking = new EndpointRanking(prefixes);
  private final LengthEstimator lengths = new LengthEstimator();
  private final Map<String, PendingRequest> pending = new LinkedHashMap<>();
  private final Map<String, TokenGapWindow> tokenGapWindows = new LinkedHashMap<>();
  private boolean crashed;

  private static final class PendingRequest {
    private final RequestRun run;
    private final SlotRequestSet slotRequests;
    private @Nullable SlotRequest dispatched;
    private long dispatchedAt;

    PendingRequest(RequestRun run, SlotRequestSet slotRequests) {
      this.run = run;
      this.slotRequests = slotRequests;
    }
  }

  SimulatedEntry(
      String incarnation,
      BrokeredDispatcher network,
      BrokeredOptions options,
      SimulatedClock clock) {
    this.incarnation = incarnation;
    this.network = network;
    this.options = options;
    this.clock = clock;
    clock.after(SAMPLE_INTERVAL_NANOS, this::reportTokenGaps);
  }

  String incarnation() {
    return incarnation;
  }

  EndpointRanking ranking() {
    return ranking;
  }

  PrefixCacheIndex prefixes() {
    return prefixes;
  }

  boolean isCrashed() {
    return crashed;
  }

  void arrive(RequestRun run) {
    Arrival arrival = run.arrival();
    RequestClass requestClass = arrival.requestClass();
    int outputTokens =
        lengths.outputTokens(
            requestClass.service(),
            arrival.customer(),
            options.outputDeviations(),
            requestClass.maximumAnswerTokens());
    int outputTokensBound =
        lengths.outputTokens(
            requestClass.service(),
            arrival.customer(),
            UPPER_BOUND_DEVIATIONS,
            requestClass.maximumAnswerTokens());
    int tier = options.tiers() ? arrival.tierRank() : 0;
    RequestEstimate estimate = new RequestEstimate(tier, arrival.prompt().tokens(), outputTokens);
    List<EndpointOption> ranked =
        ranking.rank(network.liveEndpoints(), estimate, fingerprint(arrival));
    SlotRequest template =
        SlotRequest.builder()
            .requestId(arrival.id())
            .requester(incarnation)
            .service(requestClass.service())
            .customer(options.tiers() ? arrival.customer() : "all")
            .tierRank(tier)
            .deadline(arrival.deadline())
            .promptTokens(arrival.prompt().tokens())
            .outputTokens(outputTokens)
            .outputTokensBound(outputTokensBound)
            .receivedAt(arrival.time())
            .build();
    SlotRequestSet slotRequests =
        new SlotRequestSet(template, applyHoldOff(ranked), options.parallelSlotRequests());
    run.observe(this);
    PendingRequest request = new PendingRequest(run, slotRequests);
    pending.put(arrival.id(), request);
    execute(request, slotRequests.start(clock.now()));
  }

  private List<EndpointOption> applyHoldOff(List<EndpointOption> ranked) {
    if (options.holdOff()) {
      return ranked;
    }
    List<EndpointOption> withoutHoldOff = new ArrayList<>();
    for (EndpointOption option : ranked) {
      withoutHoldOff.add(
          new EndpointOption(option.endpoint(), option.expectedNanos(), 0, option.cachedTokens()));
    }
    return withoutHoldOff;
  }

  void handleDecision(BrokerDecision decision) {
    SlotRequest slotRequest = decision.request();
    PendingRequest request = pending.get(slotRequest.requestId());
    if (request == null) {
      network.withdraw(slotRequest.endpoint(), slotRequest.key());
      return;
    }
    if (decision instanceof Grant) {
      execute(
          request,
          request.slotRequests.granted(slotRequest.endpoint(), slotRequest.key(), clock.now()));
    } else if (decision instanceof SlotRefusal refusal) {
      execute(request, request.slotRequests.refused(refusal, clock.now()));
    }
  }

  private void execute(PendingRequest request, List<SlotRequestAction> actions) {
    for (SlotRequestAction action : actions) {
      if (action instanceof SlotRequestAction.Send send) {
        network.submit(send.request());
      } else if (action instanceof SlotRequestAction.Withdraw withdraw) {
        network.withdraw(withdraw.endpoint(), withdraw.key());
      } else if (action instanceof SlotRequestAction.Dispatch dispatch) {
        dispatch(request, dispatch.request());
      } else if (action instanceof SlotRequestAction.Shed shed) {
        pending.remove(request.run.arrival().id());
        request.run.refuse(shed.reasons().get(shed.reasons().size() - 1).name());
      }
    }
  }

  private void dispatch(PendingRequest request, SlotRequest slotRequest) {
    request.dispatched = slotRequest;
    request.dispatchedAt = clock.now();
    if (options.prefixes()) {
      prefixes.dispatched(slotRequest.endpoint(), fingerprint(request.run.arrival()));
    }
    network.dispatch(request.run, slotRequest.endpoint());
  }

  @Override
  public void firstToken(RequestRun run) {
    PendingRequest request = pending.get(run.arrival().id());
    if (crashed || request == null || request.dispatched == null) {
      return;
    }
    SlotRequestKey key = request.dispatched.key();
    network.send(
        request.dispatched.endpoint(),
        broker -> broker.firstToken(key, run.firstTokenNanos(), clock.now()));
  }

  @Override
  public void ended(RequestRun run) {
    PendingRequest request = pending.remove(run.arrival().id());
    if (crashed || request == null) {
      return;
    }
    if (request.dispatched == null) {
      execute(request, request.slotRequests.close());
      return;
    }
    Release.Outcome outcome =
        run.isComplete() ? Release.Outcome.COMPLETED : Release.Outcome.CANCELLED;
    recordOutputLength(run);
    Release release =
        new Release(
            request.dispatched.key(),
            outcome,
            run.firstTokenNanos(),
            run.meanTokenIntervalNanos(),
            run.tokens());
    network.send(request.dispatched.endpoint(), broker -> broker.release(release, clock.now()));
  }

  private void recordOutputLength(RequestRun run) {
    Arrival arrival = run.arrival();
    String service = arrival.requestClass().service();
    if (run.isComplete()) {
      lengths.observeOutput(service, arrival.customer(), run.tokens());
    } else {
      lengths.observeTruncatedOutput(service, arrival.customer(), run.tokens());
    }
  }

  /** Crashes the entry and returns its requests that were still waiting for a grant. */
  List<RequestRun> crash() {
    crashed = true;
    List<RequestRun> undispatched = new ArrayList<>();
    for (PendingRequest request : pending.values()) {
      if (request.dispatched == null) {
        undispatched.add(request.run);
      }
    }
    pending.clear();
    return undispatched;
  }

  /** Resends slot requests at an endpoint with a new broker and returns the grants held there. */
  List<HeldGrant> brokerChanged(String endpoint) {
    List<HeldGrant> heldGrants = new ArrayList<>();
    for (PendingRequest request : List.copyOf(pending.values())) {
      if (request.dispatched != null && request.dispatched.endpoint().equals(endpoint)) {
        heldGrants.add(
            new HeldGrant(request.dispatched, request.dispatchedAt, request.run.tokens() == 0));
      }
      execute(request, request.slotRequests.brokerChanged(endpoint, clock.now()));
    }
    return heldGrants;
  }

  void cacheEvent(String endpoint, CacheEvent event) {
    if (options.prefixes()) {
      prefixes.event(endpoint, event);
    }
  }

  @Override
  public void tokenGap(RequestRun run, long gapNanos) {
    PendingRequest request = pending.get(run.arrival().id());
    if (crashed || request == null || request.dispatched == null) {
      return;
    }
    TokenGapWindow gaps =
        tokenGapWindows.computeIfAbsent(
            request.dispatched.endpoint(), name -> new TokenGapWindow());
    gaps.histogram.recordValue(gapNanos / NANOS_PER_MICRO);
    gaps.requests.add(run.arrival().id());
  }

  /** Reports the token gaps observed on open streams since the last report to the brokers. */
  private void reportTokenGaps() {
    if (crashed) {
      return;
    }
    tokenGapWindows.forEach(
        (endpoint, gaps) -> {
          long mean = (long) (gaps.histogram.getMean() * NANOS_PER_MICRO);
          long high = gaps.histogram.getValueAtPercentile(HIGH_PERCENTILE) * NANOS_PER_MICRO;
          StreamSample sample = new StreamSample(gaps.requests.size(), mean, high);
          network.send(endpoint, broker -> broker.observe(sample, clock.now()));
        });
    tokenGapWindows.clear();
    clock.after(SAMPLE_INTERVAL_NANOS, this::reportTokenGaps);
  }

  private static final class TokenGapWindow {
    private final Histogram histogram = new Histogram(MAX_TRACKED_MICROS, 2);
    private final Set<String> requests = new HashSet<>();
  }

  private static PromptFingerprint fingerprint(Arrival arrival) {
    Prompt prompt = arrival.prompt();
    long[] hashes = prompt.blocks().stream().mapToLong(Long::longValue).toArray();
    int blockChars = EngineProfile.BLOCK_TOKENS * Prompt.CHARACTERS_PER_TOKEN;
    return PromptFingerprint.ofHashes(
        hashes, blockChars, prompt.tokens() * Prompt.CHARACTERS_PER_TOKEN);
  }
}
