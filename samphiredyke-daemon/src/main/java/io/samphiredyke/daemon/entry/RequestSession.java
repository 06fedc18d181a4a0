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
 * One request at this entry, from its first caller until its ticket expires.
 *
 * <p>Feeds the decisions of {@link OwnershipStateMachine} with what happens and carries them out.
 * All methods run on the control loop.
 */
final class RequestSession implements SlotAcquisition.Listener {

  /** A request goes only to endpoints in data centres that its service permits. */
  static final Invariant ENDPOINT_IS_PERMITTED = Invariant.fatal("endpoint-is-permitted");

  private static final String ANSWERED = "answered";
  private static final int TOO_MANY = 429;
  private static final int UNAVAILABLE = 503;

  private final EntryContext context;
  private final RequestIdentity request;
  private final OwnershipStateMachine machine;
  private final RegisterClient registers;
  private final ProblemFactory problems;
  private final SessionTimings times;
  private final SessionHistory history;
  private final TierCounters counts;
  private final List<ResponseWriter> callers = new ArrayList<>();
  private final Deque<OwnershipEvent> events = new ArrayDeque<>();
  private final Consumer<RequestSession> onSettled;
  private ResponseBuffer buffer;
  private @Nullable Payload payload;
  private @Nullable SlotAcquisition claims;
  private @Nullable EndpointCall call;
  private @Nullable Problem refusal;
  private boolean isHandling;
  private boolean isSettled;
  private long settledAtEpochMillis;

  /**
   * Creates the session of a request that nothing is known of.
   *
   * @param onSettled is told when the request has its final outcome here
   */
  RequestSession(
      EntryContext context,
      RequestIdentity request,
      TierCounters counts,
      Consumer<RequestSession> onSettled) {
    this.context = context;
    this.onSettled = onSettled;
    this.buffer = newBuffer(context);
    this.request = request;
    this.machine =
        new OwnershipStateMachine(
            request.ticket(), context.host().incarnation(), context.invariants());
    this.registers = new RegisterClient(context, request, this::handle);
    this.problems = new ProblemFactory(context, request);
    this.times = new SessionTimings(context, request);
    this.history = new SessionHistory(context.loop());
    this.counts = counts;
  }

  private static ResponseBuffer newBuffer(EntryContext context) {
    return new ResponseBuffer(context.limits().memory(), context.limits().answerBytes());
  }

  RequestIdentity request() {
    return request;
  }

  ResponseBuffer buffer() {
    return buffer;
  }

  /** Returns whether the request has its final outcome here. */
  boolean isSettled() {
    return isSettled;
  }

  /** Returns whether this entry still works on the request. */
  boolean isActive() {
    return switch (machine.state().phase()) {
      case IDLE, CLOSED, TAKEN_AWAY, FINISHED, UNKNOWN -> !callers.isEmpty() && !isSettled;
      case OWNING, CLOSING -> !callers.isEmpty();
      case INTENT_PENDING, DISPATCHED, ASKING, TAKING_OVER, CONSULTING, RECOVERING -> true;
    };
  }

  /** Returns whether the request is at an endpoint. */
  boolean isDispatched() {
    OwnershipPhase phase = machine.state().phase();
    return phase == OwnershipPhase.DISPATCHED || phase == OwnershipPhase.RECOVERING;
  }

  /** Returns what operators are told about the request. */
  RequestExplanation explain() {
    return new RequestExplanation(
        request.idText(),
        machine.state().phase().name().toLowerCase(Locale.ROOT),
        ran(),
        request.customer().name(),
        request.service().name(),
        history.steps());
  }

  private String ran() {
    return switch (machine.state().phase()) {
      case DISPATCHED, FINISHED -> Problem.ExecutionStatus.EXECUTED.text();
      case OWNING, CLOSED -> Problem.ExecutionStatus.NOT_EXECUTED.text();
      default -> Problem.ExecutionStatus.UNKNOWN.text();
    };
  }

  /** Adds a caller; a null payload asks only for what is known. */
  void submit(@Nullable Payload sent, ResponseWriter caller) {
    if (sent != null && isOtherBody(sent)) {
      caller.fail(problems.of(new OwnershipAnswer.Conflict(), null));
      return;
    }
    if (payload == null && sent != null) {
      payload = sent;
      context.limits().memory().add(sent.body().length);
    }
    caller.start();
    if (buffer.isComplete()) {
      return;
    }
    callers.add(caller);
    handle(new OwnershipEvent.Submitted(sent == null ? null : sent.digest()));
  }

  private boolean isOtherBody(Payload sent) {
    String known = machine.state().bodyDigest();
    return known != null && !known.equals(sent.digest());
  }

  /** Returns whether the body of the request has not been seen here. */
  boolean lacksBody() {
    return payload == null && !isSettled;
  }

  /** Returns the estimate of a body's length in tokens. */
  RequestEstimate estimate(Payload sent) {
    return times.estimate(sent);
  }

  /** Returns the tokens that the request used. */
  long usedTokens() {
    Payload sent = payload;
    if (sent == null || !buffer.isComplete()) {
      return 0;
    }
    return (long) times.estimate(sent).promptTokens() + times.outputTokens();
  }

  /** Sets the refusal of a body that is about to be submitted. */
  void refuseNext(Problem problem) {
    if (refusal == null) {
      refusal = problem;
    }
  }

  /** Refuses the request as not run as soon as this is proven. */
  void refuse(Problem problem) {
    if (refusal == null) {
      refusal = problem;
    }
    handle(new OwnershipEvent.Refuse(problem.title()));
  }

  /** Learns that a caller's connection is gone. */
  void callerLeft(ResponseWriter caller) {
    caller.stop();
    callers.remove(caller);
    if (callers.isEmpty()) {
      handle(new OwnershipEvent.CallerLeft());
    }
  }

  ChainMemberReply status(int askerPlace) {
    handle(new OwnershipEvent.StateQueried(askerPlace));
    return machine.reply();
  }

  void onGrant(Grant grant) {
    SlotAcquisition driver = claims;
    if (driver != null) {
      driver.onGrant(grant);
    }
  }

  void onRefusal(Refusal message) {
    SlotAcquisition driver = claims;
    if (driver != null) {
      driver.onRefusal(message);
    }
  }

  void membersChanged() {
    SlotAcquisition driver = claims;
    if (driver != null) {
      driver.membersChanged();
    }
  }

  private void handle(OwnershipEvent event) {
    events.add(event);
    if (isHandling) {
      return;
    }
    isHandling = true;
    try {
      while (!events.isEmpty()) {
        machine.handle(events.remove()).forEach(this::carryOut);
      }
    } finally {
      isHandling = false;
    }
  }

  private void carryOut(OwnershipDecision decision) {
    history.add(decision.getClass().getSimpleName(), decision.toString());
    if (decision instanceof OwnershipDecision.Claim) {
      claim();
    } else if (decision instanceof OwnershipDecision.WithdrawClaim) {
      withdrawClaims();
    } else if (decision instanceof OwnershipDecision.ReleaseGrant) {
      releaseUnused();
    } else if (decision instanceof OwnershipDecision.WriteRegister write) {
      registers.write(write.place(), write.operation());
    } else if (decision instanceof OwnershipDecision.ReadRegister read) {
      registers.read(read.place());
    } else if (decision instanceof OwnershipDecision.AskMember ask) {
      registers.ask(ask.place());
    } else if (decision instanceof OwnershipDecision.Dispatch dispatch) {
      dispatch(dispatch.endpoint(), dispatch.attempt());
    } else if (decision instanceof OwnershipDecision.ResumeFrom resume) {
      resume(resume.endpoint(), resume.attempt());
    } else if (decision instanceof OwnershipDecision.Tell tell) {
      tell(tell.answer());
    }
  }

  private void claim() {
    Payload sent = payload;
    Problem wanted = refusal;
    if (sent == null || wanted != null) {
      handle(new OwnershipEvent.Refuse(wanted == null ? "no body" : wanted.title()));
      return;
    }
    SlotAcquisition driver = claims;
    if (driver == null) {
      driver = newClaims(sent);
      claims = driver;
      scheduleDeadline();
    }
    driver.start();
  }

  private SlotAcquisition newClaims(Payload sent) {
    RequestEstimate estimate = times.estimate(sent);
    PromptFingerprint fingerprint = PromptFingerprint.of(sent.prompt());
    return new SlotAcquisition(
        context,
        request,
        estimate,
        fingerprint,
        times.receivedAt(),
        times.deadline(),
        history,
        this);
  }

  private void scheduleDeadline() {
    Duration left = Duration.ofNanos(Math.max(0, times.deadline() - context.loop().nanoTime()));
    context.loop().schedule(this::onDeadline, left);
  }

  private void onDeadline() {
    OwnershipPhase phase = machine.state().phase();
    if (phase == OwnershipPhase.OWNING || phase == OwnershipPhase.INTENT_PENDING) {
      refuse(problems.deadline());
    }
  }

  @Override
  public void onGranted(String endpoint) {
    handle(new OwnershipEvent.Granted(endpoint));
  }

  @Override
  public void onShed(SlotRequestAction.Shed shed) {
    refuse(problems.shed(shed));
  }

  @Override
  public void onNoEndpoint() {
    refuse(problems.noEndpoint());
  }

  private void withdrawClaims() {
    SlotAcquisition driver = claims;
    if (driver != null) {
      driver.close();
    }
  }

  private void releaseUnused() {
    SlotAcquisition driver = claims;
    if (driver != null) {
      driver.release(Release.Outcome.UNUSED, 0, 0, 0);
    }
  }

  private void dispatch(String name, int attempt) {
    Optional<Endpoint> endpoint = servingEndpoint(name);
    Payload sent = payload;
    if (endpoint.isEmpty() || sent == null) {
      release(Release.Outcome.UNUSED);
      handle(new OwnershipEvent.NotDispatched(attempt));
      return;
    }
    boolean isPermitted = request.service().dataCentres().contains(endpoint.get().dataCentre());
    context
        .invariants()
        .check(ENDPOINT_IS_PERMITTED, isPermitted, () -> name + " for " + request.service());
    times.dispatched();
    openCall(endpoint.get(), attempt, sent).dispatch();
  }

  /** Returns the endpoint if it may still get the request: a second check after the grant. */
  private Optional<Endpoint> servingEndpoint(String name) {
    return context.configuration().get().endpointsFor(request.service().name()).stream()
        .filter(endpoint -> endpoint.name().equals(name))
        .filter(endpoint -> !context.isLeaving().test(endpoint))
        .findFirst();
  }

  private void resume(String name, int attempt) {
    Optional<Endpoint> endpoint = context.configuration().get().endpoint(name);
    if (endpoint.isEmpty()) {
      handle(new OwnershipEvent.ResumeUnreachable(attempt));
      return;
    }
    Payload sent = payload;
    Payload known = sent == null ? Payload.ofCall("/", new byte[0]) : sent;
    openCall(endpoint.get(), attempt, known).resume();
  }

  private EndpointCall openCall(Endpoint endpoint, int attempt, Payload sent) {
    EndpointCall old = call;
    if (old != null) {
      old.stop();
    }
    CallContext callContext =
        new CallContext(context.http(), context.traffic().next(), request.idText(), sent);
    EndpointCall.Listener listener = new CallListener(endpoint, attempt);
    boolean isModel = request.service().kind() == ServiceKind.MODEL;
    EndpointCall opened =
        isModel
            ? new ModelCall(callContext, endpoint, buffer, listener)
            : new PlainCall(callContext, endpoint, buffer, listener);
    call = opened;
    return opened;
  }

  private final class CallListener implements EndpointCall.Listener {

    private final Endpoint endpoint;
    private final int attempt;

    CallListener(Endpoint endpoint, int attempt) {
      this.endpoint = endpoint;
      this.attempt = attempt;
    }

    @Override
    public void onFirstPart() {
      context.loop().execute(RequestSession.this::firstPart);
    }

    @Override
    public void onEnded() {
      context.loop().execute(() -> ended(endpoint, attempt));
    }

    @Override
    public void onTooLong() {
      context.loop().execute(() -> tooLong(endpoint, attempt));
    }

    @Override
    public void onNotDispatched() {
      context.loop().execute(() -> notDispatched(endpoint, attempt));
    }

    @Override
    public void onBroken() {
      context.metrics().count("endpoint-connection-lost");
      report(new OwnershipEvent.StreamBroken(attempt));
    }

    @Override
    public void onMissing() {
      report(new OwnershipEvent.ResumeNotFound(attempt));
    }

    @Override
    public void onUnreachable() {
      report(new OwnershipEvent.ResumeUnreachable(attempt));
    }

    private void report(OwnershipEvent event) {
      context.loop().execute(() -> handle(event));
    }
  }

  private void firstPart() {
    history.add("FirstPart", "");
    times.firstPart();
    SlotAcquisition driver = claims;
    if (driver != null) {
      driver.firstToken(times.firstTokenNanos());
    }
  }

  private void ended(Endpoint endpoint, int attempt) {
    context.learned().circuit(endpoint.name()).succeeded();
    times.ended(buffer, payload);
    history.add("Ended", endpoint.name());
    release(isOverloaded() ? Release.Outcome.OVERLOADED : Release.Outcome.COMPLETED);
    settle(ANSWERED);
    callers.clear();
    handle(new OwnershipEvent.Ended(attempt));
  }

  private boolean isOverloaded() {
    ResponseHead head = buffer.head();
    return head != null && (head.status() == TOO_MANY || head.status() == UNAVAILABLE);
  }

  private void tooLong(Endpoint endpoint, int attempt) {
    context.metrics().count("answer-too-long");
    List<ResponseWriter> told = List.copyOf(callers);
    callers.clear();
    told.forEach(caller -> caller.fail(problems.tooLong()));
    ended(endpoint, attempt);
    dropContent();
  }

  private void notDispatched(Endpoint endpoint, int attempt) {
    context.learned().circuit(endpoint.name()).failed(context.loop().nanoTime());
    context.metrics().count("endpoint-not-reached");
    history.add("NotDispatched", endpoint.name());
    release(Release.Outcome.UNUSED);
    handle(new OwnershipEvent.NotDispatched(attempt));
  }

  private void release(Release.Outcome outcome) {
    SlotAcquisition driver = claims;
    if (driver != null) {
      driver.release(outcome, times.firstTokenNanos(), times.intervalNanos(), times.outputTokens());
    }
  }

  private void tell(OwnershipAnswer answer) {
    Problem problem = problems.of(answer, refusal);
    if (answer instanceof OwnershipAnswer.Conflict) {
      callers.remove(callers.size() - 1).fail(problem);
      return;
    }
    List<ResponseWriter> told = List.copyOf(callers);
    callers.clear();
    told.forEach(caller -> caller.fail(problem));
    context.metrics().count("told-" + answer.getClass().getSimpleName());
    if (answer instanceof OwnershipAnswer.NotRun) {
      withdrawClaims();
      settle("not-run");
    } else if (answer instanceof OwnershipAnswer.Unknown) {
      release(Release.Outcome.FAILED);
      settle("unknown");
    }
  }

  private void settle(String outcome) {
    if (!isSettled) {
      isSettled = true;
      settledAtEpochMillis = context.loop().epochMillis();
      times.settled(outcome);
      counts.settled(request.service().tier(), outcome.equals(ANSWERED));
      onSettled.accept(this);
    }
  }

  /** Drops the body and the answer of a request that was settled before a time. */
  void forgetContent(long settledBeforeEpochMillis) {
    if (!isSettled || isActive() || isRead() || settledAtEpochMillis > settledBeforeEpochMillis) {
      return;
    }
    dropContent();
  }

  /** Returns whether the outcome is final and the body or the answer is still held. */
  boolean holdsFinishedContent() {
    return isSettled && !isActive() && callers.isEmpty() && (payload != null || buffer.bytes() > 0);
  }

  /** Returns whether a caller still reads the answer. */
  boolean isRead() {
    return buffer.hasReaders();
  }

  long settledAtEpochMillis() {
    return settledAtEpochMillis;
  }

  /** Drops the body and the answer; a caller that asks again gets it from the endpoint. */
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
