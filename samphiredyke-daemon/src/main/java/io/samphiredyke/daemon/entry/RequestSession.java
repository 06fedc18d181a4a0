package io.samphiredyke.daemon.entry;

import io.samphiredyke.core.broker.Release;
import io.samphiredyke.core.config.Endpoint;
import io.samphiredyke.core.config.ServiceKind;
import io.samphiredyke.core.invariant.Invariant;
import io.samphiredyke.core.ownership.ChainMemberReply;
import io.samphiredyke.core.ownership.OwnershipAnswer;
import io.samphiredyke.core.ownership.OwnershipDecision;
import io.samphiredyke.core.ownership.OwnershipEvent;
import io.samphiredyke.core.ownership.OwnershipPhase;
import io.samphiredyke.core.ownership.OwnershipStateMachine;
import io.samphiredyke.core.routing.PromptFingerprint;
import io.samphiredyke.core.routing.RequestEstimate;
import io.samphiredyke.core.routing.SlotRequestAction;
import io.samphiredyke.daemon.response.Problem;
import io.samphiredyke.daemon.response.ResponseBuffer;
import io.samphiredyke.daemon.response.ResponseHead;
import io.samphiredyke.daemon.response.ResponseWriter;
import io.samphiredyke.net.admin.RequestExplanation;
import io.samphiredyke.schema.message.Grant;
import io.samphiredyke.schema.message.Refusal;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/**
 * The state of one request at this entry, from its first submission until its ticket expires.
 *
 * <p>Passes events to the {@link OwnershipStateMachine} and executes the decisions that it returns.
 * All methods run on the control loop.
 */
final class RequestSession implements SlotAcquisition.Listener {

  /** A request is dispatched only to endpoints in data centres that its service permits. */
  static final Invariant ENDPOINT_IS_PERMITTED = Invariant.fatal("endpoint-is-permitted");

  private static final String ANSWERED = "answered";
  private static final int TOO_MANY_REQUESTS = 429;
  private static final int SERVICE_UNAVAILABLE = 503;

  private final EntryContext context;
  private final RequestIdentity request;
  private final OwnershipStateMachine stateMachine;
  private final RegisterClient registerClient;
  private final ProblemFactory problems;
  private final SessionTimings timings;
  private final SessionHistory history;
  private final TierCounters tierCounters;
  private final List<ResponseWriter> callers = new ArrayList<>();
  private final Deque<OwnershipEvent> pendingEvents = new ArrayDeque<>();
  private final Consumer<RequestSession> onSettled;
  private ResponseBuffer buffer;
  private @Nullable Payload payload;
  private @Nullable SlotAcquisition slotAcquisition;
  private @Nullable EndpointCall call;
  private @Nullable Problem refusal;
  private boolean isProcessingEvents;
  private boolean isSettled;
  private long settledAtEpochMillis;

  /**
   * Creates the session of a request that is not known yet.
   *
   * @param onSettled called once when the request reaches its final outcome at this entry
   */
  RequestSession(
      EntryContext context,
      RequestIdentity request,
      TierCounters tierCounters,
      Consumer<RequestSession> onSettled) {
    this.context = context;
    this.onSettled = onSettled;
    this.buffer = newBuffer(context);
    this.request = request;
    this.stateMachine =
        new OwnershipStateMachine(
            request.ticket(), context.host().incarnation(), context.invariants());
    this.registerClient = new RegisterClient(context, request, this::handle);
    this.problems = new ProblemFactory(context, request);
    this.timings = new SessionTimings(context, request);
    this.history = new SessionHistory(context.loop());
    this.tierCounters = tierCounters;
  }

  private static ResponseBuffer newBuffer(EntryContext context) {
    return new ResponseBuffer(context.limits().memory(), context.limits().maxResponseBytes());
  }

  RequestIdentity request() {
    return request;
  }

  ResponseBuffer buffer() {
    return buffer;
  }

  /** Returns whether the request has reached its final outcome at this entry. */
  boolean isSettled() {
    return isSettled;
  }

  /** Returns whether this entry is still processing the request. */
  boolean isActive() {
    return switch (stateMachine.state().phase()) {
      case IDLE, CLOSED, TAKEN_AWAY, FINISHED, UNKNOWN -> !callers.isEmpty() && !isSettled;
      case OWNING, CLOSING -> !callers.isEmpty();
      case INTENT_PENDING, DISPATCHED, ASKING, TAKING_OVER, CONSULTING, RECOVERING -> true;
    };
  }

  /** Returns whether the request has been dispatched to an endpoint and has not ended. */
  boolean isDispatched() {
    OwnershipPhase phase = stateMachine.state().phase();
    return phase == OwnershipPhase.DISPATCHED || phase == OwnershipPhase.RECOVERING;
  }

  /** Returns a report of the request's state and history for operators. */
  RequestExplanation explain() {
    return new RequestExplanation(
        request.idText(),
        stateMachine.state().phase().name().toLowerCase(Locale.ROOT),
        executionStatus(),
        request.customer().name(),
        request.service().name(),
        history.steps());
  }

  private String executionStatus() {
    return switch (stateMachine.state().phase()) {
      case DISPATCHED, FINISHED -> Problem.ExecutionStatus.EXECUTED.text();
      case OWNING, CLOSED -> Problem.ExecutionStatus.NOT_EXECUTED.text();
      default -> Problem.ExecutionStatus.UNKNOWN.text();
    };
  }

  /**
   * Adds a caller that waits for the response.
   *
   * @param submitted the payload, or null to resume a request without sending its body again
   */
  void submit(@Nullable Payload submitted, ResponseWriter caller) {
    if (submitted != null && hasDifferentBody(submitted)) {
      caller.fail(problems.of(new OwnershipAnswer.Conflict(), null));
      return;
    }
    if (payload == null && submitted != null) {
      payload = submitted;
      context.limits().memory().charge(submitted.body().length);
    }
    caller.start();
    if (buffer.isComplete()) {
      return;
    }
    callers.add(caller);
    handle(new OwnershipEvent.Submitted(submitted == null ? null : submitted.digest()));
  }

  private boolean hasDifferentBody(Payload submitted) {
    String knownDigest = stateMachine.state().bodyDigest();
    return knownDigest != null && !knownDigest.equals(submitted.digest());
  }

  /** Returns whether this entry still needs the body of the request. */
  boolean lacksBody() {
    return payload == null && !isSettled;
  }

  /** Estimates the prompt and output length of a payload in tokens. */
  RequestEstimate estimate(Payload submitted) {
    return timings.estimate(submitted);
  }

  /**
   * Returns the tokens that the request used: its estimated prompt plus its counted output, or 0
   * without a complete response.
   */
  long usedTokens() {
    Payload submitted = payload;
    if (submitted == null || !buffer.isComplete()) {
      return 0;
    }
    return (long) timings.estimate(submitted).promptTokens() + timings.outputTokens();
  }

  /** Makes the next submission of a body fail with a problem instead of requesting a slot. */
  void refuseOnSubmit(Problem problem) {
    if (refusal == null) {
      refusal = problem;
    }
  }

  /** Refuses the request once it is proven that it was not executed. */
  void refuse(Problem problem) {
    if (refusal == null) {
      refusal = problem;
    }
    handle(new OwnershipEvent.Refuse(problem.title()));
  }

  /** Removes a caller whose connection was closed. */
  void onCallerDisconnected(ResponseWriter caller) {
    caller.stop();
    callers.remove(caller);
    if (callers.isEmpty()) {
      handle(new OwnershipEvent.CallerLeft());
    }
  }

  /**
   * Handles a status request of another member of the ticket's chain.
   *
   * @param requesterPosition the position of that member in the chain
   */
  ChainMemberReply status(int requesterPosition) {
    handle(new OwnershipEvent.StateQueried(requesterPosition));
    return stateMachine.reply();
  }

  void onGrant(Grant grant) {
    SlotAcquisition acquisition = slotAcquisition;
    if (acquisition != null) {
      acquisition.onGrant(grant);
    }
  }

  void onRefusal(Refusal message) {
    SlotAcquisition acquisition = slotAcquisition;
    if (acquisition != null) {
      acquisition.onRefusal(message);
    }
  }

  void onMembershipChanged() {
    SlotAcquisition acquisition = slotAcquisition;
    if (acquisition != null) {
      acquisition.onMembershipChanged();
    }
  }

  private void handle(OwnershipEvent event) {
    pendingEvents.add(event);
    if (isProcessingEvents) {
      return;
    }
    isProcessingEvents = true;
    try {
      while (!pendingEvents.isEmpty()) {
        stateMachine.handle(pendingEvents.remove()).forEach(this::execute);
      }
    } finally {
      isProcessingEvents = false;
    }
  }

  private void execute(OwnershipDecision decision) {
    history.add(decision.getClass().getSimpleName(), decision.toString());
    if (decision instanceof OwnershipDecision.Claim) {
      requestSlot();
    } else if (decision instanceof OwnershipDecision.WithdrawClaim) {
      withdrawSlotRequests();
    } else if (decision instanceof OwnershipDecision.ReleaseGrant) {
      releaseUnusedSlot();
    } else if (decision instanceof OwnershipDecision.WriteRegister write) {
      registerClient.write(write.place(), write.operation());
    } else if (decision instanceof OwnershipDecision.ReadRegister read) {
      registerClient.read(read.place());
    } else if (decision instanceof OwnershipDecision.AskMember ask) {
      registerClient.requestStatus(ask.place());
    } else if (decision instanceof OwnershipDecision.Dispatch dispatch) {
      dispatch(dispatch.endpoint(), dispatch.attempt());
    } else if (decision instanceof OwnershipDecision.ResumeFrom resume) {
      resume(resume.endpoint(), resume.attempt());
    } else if (decision instanceof OwnershipDecision.Tell tell) {
      respond(tell.answer());
    }
  }

  private void requestSlot() {
    Payload submitted = payload;
    Problem reason = refusal;
    if (submitted == null || reason != null) {
      handle(new OwnershipEvent.Refuse(reason == null ? "no body" : reason.title()));
      return;
    }
    SlotAcquisition acquisition = slotAcquisition;
    if (acquisition == null) {
      acquisition = newSlotAcquisition(submitted);
      slotAcquisition = acquisition;
      scheduleDeadline();
    }
    acquisition.start();
  }

  private SlotAcquisition newSlotAcquisition(Payload submitted) {
    RequestEstimate estimate = timings.estimate(submitted);
    PromptFingerprint fingerprint = PromptFingerprint.of(submitted.prompt());
    return new SlotAcquisition(
        context,
        request,
        estimate,
        fingerprint,
        timings.receivedAt(),
        timings.deadline(),
        history,
        this);
  }

  private void scheduleDeadline() {
    Duration remaining =
        Duration.ofNanos(Math.max(0, timings.deadline() - context.loop().nanoTime()));
    context.loop().schedule(this::onDeadline, remaining);
  }

  private void onDeadline() {
    OwnershipPhase phase = stateMachine.state().phase();
    if (phase == OwnershipPhase.OWNING || phase == OwnershipPhase.INTENT_PENDING) {
      refuse(problems.deadlineExceeded());
    }
  }

  @Override
  public void onGranted(String endpoint) {
    handle(new OwnershipEvent.Granted(endpoint));
  }

  @Override
  public void onShed(SlotRequestAction.Shed shed) {
    refuse(problems.allEndpointsRefused(shed));
  }

  @Override
  public void onNoEndpoint() {
    refuse(problems.noEndpoint());
  }

  @Override
  public void onNoPath() {
    refuse(problems.noPath());
  }

  private void withdrawSlotRequests() {
    SlotAcquisition acquisition = slotAcquisition;
    if (acquisition != null) {
      acquisition.withdrawAll();
    }
  }

  private void releaseUnusedSlot() {
    SlotAcquisition acquisition = slotAcquisition;
    if (acquisition != null) {
      acquisition.release(Release.Outcome.UNUSED, 0, 0, 0);
    }
  }

  private void dispatch(String name, int attempt) {
    Optional<Endpoint> endpoint = findEligibleEndpoint(name);
    Payload submitted = payload;
    if (endpoint.isEmpty() || submitted == null) {
      releaseSlot(Release.Outcome.UNUSED);
      handle(new OwnershipEvent.NotDispatched(attempt));
      return;
    }
    boolean isPermitted = request.service().dataCentres().contains(endpoint.get().dataCentre());
    context
        .invariants()
        .check(ENDPOINT_IS_PERMITTED, isPermitted, () -> name + " for " + request.service());
    timings.recordDispatch();
    createCall(endpoint.get(), attempt, submitted).dispatch();
  }

  /**
   * Returns the endpoint if it may still get the request. The configuration may have changed since
   * the slot was granted, so the service and the drain state are checked again.
   */
  private Optional<Endpoint> findEligibleEndpoint(String name) {
    return context.configuration().get().endpointsFor(request.service().name()).stream()
        .filter(endpoint -> endpoint.name().equals(name))
        .filter(endpoint -> !context.isDraining().test(endpoint))
        .findFirst();
  }

  private void resume(String name, int attempt) {
    Optional<Endpoint> endpoint = context.configuration().get().endpoint(name);
    if (endpoint.isEmpty()) {
      handle(new OwnershipEvent.ResumeUnreachable(attempt));
      return;
    }
    Payload submitted = payload;
    Payload content = submitted == null ? Payload.ofCall("/", new byte[0]) : submitted;
    createCall(endpoint.get(), attempt, content).resume();
  }

  private EndpointCall createCall(Endpoint endpoint, int attempt, Payload submitted) {
    EndpointCall previous = call;
    if (previous != null) {
      previous.cancel();
    }
    CallContext callContext =
        new CallContext(context.http(), context.traffic().next(), request.idText(), submitted);
    EndpointCall.Listener listener = new CallListener(endpoint, attempt);
    boolean isModel = request.service().kind() == ServiceKind.MODEL;
    EndpointCall created =
        isModel
            ? new ModelCall(callContext, endpoint, buffer, listener)
            : new PlainCall(callContext, endpoint, buffer, listener);
    call = created;
    return created;
  }

  /** Passes the events of one call from its event loop to the control loop. */
  private final class CallListener implements EndpointCall.Listener {

    private final Endpoint endpoint;
    private final int attempt;

    CallListener(Endpoint endpoint, int attempt) {
      this.endpoint = endpoint;
      this.attempt = attempt;
    }

    @Override
    public void onFirstChunk() {
      context.loop().execute(RequestSession.this::handleFirstChunk);
    }

    @Override
    public void onCompleted() {
      context.loop().execute(() -> handleCompletion(endpoint, attempt));
    }

    @Override
    public void onResponseTooLong() {
      context.loop().execute(() -> handleResponseTooLong(endpoint, attempt));
    }

    @Override
    public void onNotExecuted(boolean isReached) {
      context.loop().execute(() -> handleNotDispatched(endpoint, attempt, isReached));
    }

    @Override
    public void onConnectionLost() {
      context.metrics().count("endpoint-connection-lost");
      context.loop().execute(() -> handleConnectionLost(endpoint, attempt));
    }

    @Override
    public void onRequestUnknown() {
      report(new OwnershipEvent.ResumeNotFound(attempt));
    }

    @Override
    public void onResumeFailed() {
      report(new OwnershipEvent.ResumeUnreachable(attempt));
    }

    private void report(OwnershipEvent event) {
      context.loop().execute(() -> handle(event));
    }
  }

  private void handleFirstChunk() {
    history.add("FirstPart", "");
    timings.recordFirstChunk();
    SlotAcquisition acquisition = slotAcquisition;
    if (acquisition != null) {
      acquisition.onFirstToken(timings.timeToFirstTokenNanos());
    }
  }

  private void handleCompletion(Endpoint endpoint, int attempt) {
    context.routing().recordPath(endpoint.name(), true);
    context.routing().circuitBreaker(endpoint.name()).succeeded();
    timings.recordCompletion(buffer, payload);
    history.add("Ended", endpoint.name());
    releaseSlot(isOverloadResponse() ? Release.Outcome.OVERLOADED : Release.Outcome.COMPLETED);
    settle(ANSWERED);
    callers.clear();
    handle(new OwnershipEvent.Ended(attempt));
  }

  private boolean isOverloadResponse() {
    ResponseHead head = buffer.head();
    return head != null
        && (head.status() == TOO_MANY_REQUESTS || head.status() == SERVICE_UNAVAILABLE);
  }

  private void handleResponseTooLong(Endpoint endpoint, int attempt) {
    context.metrics().count("answer-too-long");
    List<ResponseWriter> waiting = List.copyOf(callers);
    callers.clear();
    waiting.forEach(caller -> caller.fail(problems.responseTooLong()));
    handleCompletion(endpoint, attempt);
    dropContent();
  }

  private void handleNotDispatched(Endpoint endpoint, int attempt, boolean isReached) {
    context.routing().recordPath(endpoint.name(), isReached);
    context.routing().circuitBreaker(endpoint.name()).failed(context.loop().nanoTime());
    context.metrics().count("endpoint-not-reached");
    history.add("NotDispatched", endpoint.name());
    releaseSlot(Release.Outcome.UNUSED);
    handle(new OwnershipEvent.NotDispatched(attempt));
  }

  private void handleConnectionLost(Endpoint endpoint, int attempt) {
    context.routing().circuitBreaker(endpoint.name()).failed(context.loop().nanoTime());
    handle(new OwnershipEvent.StreamBroken(attempt));
  }

  private void releaseSlot(Release.Outcome outcome) {
    SlotAcquisition acquisition = slotAcquisition;
    if (acquisition != null) {
      acquisition.release(
          outcome,
          timings.timeToFirstTokenNanos(),
          timings.interTokenNanos(),
          timings.outputTokens());
    }
  }

  private void respond(OwnershipAnswer answer) {
    Problem problem = problems.of(answer, refusal);
    if (answer instanceof OwnershipAnswer.Conflict) {
      callers.remove(callers.size() - 1).fail(problem);
      return;
    }
    List<ResponseWriter> waiting = List.copyOf(callers);
    callers.clear();
    waiting.forEach(caller -> caller.fail(problem));
    context.metrics().count("told-" + answer.getClass().getSimpleName());
    if (answer instanceof OwnershipAnswer.NotRun) {
      withdrawSlotRequests();
      settle("not-run");
    } else if (answer instanceof OwnershipAnswer.Unknown) {
      releaseSlot(Release.Outcome.FAILED);
      settle("unknown");
    }
  }

  private void settle(String outcome) {
    if (!isSettled) {
      isSettled = true;
      settledAtEpochMillis = context.loop().epochMillis();
      timings.recordOutcome(outcome);
      tierCounters.recordOutcome(request.service().tier(), outcome.equals(ANSWERED));
      onSettled.accept(this);
    }
  }

  /**
   * Drops the body and the response if the request was settled before a time and no caller reads
   * the response.
   */
  void dropContentIfSettledBefore(long settledBeforeEpochMillis) {
    if (!isSettled
        || isActive()
        || hasReaders()
        || settledAtEpochMillis > settledBeforeEpochMillis) {
      return;
    }
    dropContent();
  }

  /** Returns whether the request is settled and its body or response is still in memory. */
  boolean hasEvictableContent() {
    return isSettled
        && !isActive()
        && callers.isEmpty()
        && (payload != null || buffer.bufferedBytes() > 0);
  }

  /** Returns whether a caller is still reading the response. */
  boolean hasReaders() {
    return buffer.hasReaders();
  }

  long settledAtEpochMillis() {
    return settledAtEpochMillis;
  }

  /**
   * Drops the body and the response. If a caller retries the request, the response is fetched again
   * from the endpoint.
   */
  void dropContent() {
    Payload held = payload;
    if (held != null) {
      context.limits().memory().release(held.body().length);
    }
    payload = null;
    buffer.drop();
    buffer = newBuffer(context);
  }
}
