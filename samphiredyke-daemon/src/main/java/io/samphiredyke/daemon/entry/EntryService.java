package io.samphiredyke.daemon.entry;

import io.samphiredyke.core.broker.SlotRequestKey;
import io.samphiredyke.core.ownership.ChainMemberReply;
import io.samphiredyke.core.ownership.Incarnation;
import io.samphiredyke.core.ownership.RegisterOperation;
import io.samphiredyke.core.ownership.RegisterRecord;
import io.samphiredyke.core.ownership.RegisterReply;
import io.samphiredyke.core.ownership.RequestId;
import io.samphiredyke.core.ownership.Ticket;
import io.samphiredyke.core.ownership.TicketException;
import io.samphiredyke.daemon.peer.MessageRouter;
import io.samphiredyke.daemon.peer.RegisterMessages;
import io.samphiredyke.daemon.response.Problem;
import io.samphiredyke.daemon.response.ResponseWriter;
import io.samphiredyke.net.admin.RequestExplanation;
import io.samphiredyke.net.admin.TierStatus;
import io.samphiredyke.net.peer.PeerIdentity;
import io.samphiredyke.schema.message.Acknowledgement;
import io.samphiredyke.schema.message.Grant;
import io.samphiredyke.schema.message.PeerMessage;
import io.samphiredyke.schema.message.ReadRegister;
import io.samphiredyke.schema.message.Refusal;
import io.samphiredyke.schema.message.RequestStatus;
import io.samphiredyke.schema.message.Withdraw;
import io.samphiredyke.schema.message.WriteRegister;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/**
 * Accepts requests, keeps a session for each and replies to status queries of other hosts.
 *
 * <p>All methods run on the control loop.
 */
public final class EntryService {

  private static final Duration SWEEP_INTERVAL = Duration.ofSeconds(5);
  private static final Duration EVICTION_INTERVAL = Duration.ofMillis(100);
  private static final Duration TABLE_FULL_RETRY_AFTER = Duration.ofSeconds(10);
  private static final int TOO_MANY_REQUESTS = 429;

  private final EntryContext context;
  private final SessionTable sessions;
  private final AdmissionControl admissionControl;
  private final TierCounters tierCounters = new TierCounters();
  private boolean isDraining;

  /** Creates an entry that has no requests. */
  public EntryService(EntryContext context) {
    this.context = context;
    this.sessions = new SessionTable(context.limits());
    this.admissionControl = new AdmissionControl(context, this::permittedHostCount);
  }

  /** Registers the handlers of messages from brokers and other entries. */
  public void register(MessageRouter router) {
    router.addRoute(Grant.class, this::onGrant);
    router.addRoute(Refusal.class, this::onRefusal);
    router.addRoute(WriteRegister.class, this::onWriteRegister);
    router.addRoute(ReadRegister.class, this::onReadRegister);
    router.addRoute(RequestStatus.class, this::onRequestStatus);
  }

  /** Starts the periodic removal of expired requests and the eviction of responses. */
  public void start() {
    context.loop().scheduleWithFixedDelay(this::sweep, SWEEP_INTERVAL);
    context.loop().scheduleWithFixedDelay(sessions::evictResponsesWhileFull, EVICTION_INTERVAL);
    context.membership().onChange(change -> onMembershipChanged());
  }

  /** Returns the number of requests that this entry is still processing. */
  public long activeRequests() {
    return sessions.all().stream().filter(RequestSession::isActive).count();
  }

  /** Returns the number of sessions, including those of settled requests. */
  public int knownRequests() {
    return sessions.size();
  }

  /** Refuses new requests from now on. */
  public void drain() {
    isDraining = true;
  }

  /** Returns whether new requests are refused. */
  public boolean isDraining() {
    return isDraining;
  }

  /** Returns the session of a request. */
  Optional<RequestSession> session(String id) {
    return sessions.find(id);
  }

  /** Returns the state and history of a request, or empty if this entry has no session for it. */
  public Optional<RequestExplanation> explain(String id) {
    return session(id).map(RequestSession::explain);
  }

  /** Returns the number of waiting, dispatched and settled requests of each tier. */
  public List<TierStatus> tiers() {
    return tierCounters.status(context.configuration().get(), sessions.all());
  }

  /**
   * Submits a request or retries an earlier one.
   *
   * @param payload the body, or null to resume a request without sending its body again
   * @param writerFactory creates the writer of the response to the caller from the request's
   *     session
   * @return the writer, to be stopped when the caller disconnects; empty if the session table is
   *     full
   */
  Optional<ResponseWriter> submit(
      RequestIdentity request,
      @Nullable Payload payload,
      java.util.function.Function<RequestSession, ResponseWriter> writerFactory) {
    RequestSession known = sessions.get(request.idText());
    if (known == null && !sessions.hasCapacity(request.customer().name())) {
      context.metrics().count("refused-request-table");
      return Optional.empty();
    }
    RequestSession session = known == null ? createSession(request) : known;
    if (payload != null && session.lacksBody()) {
      admissionControl.admit(request, session.estimate(payload)).ifPresent(session::refuseOnSubmit);
    }
    ResponseWriter writer = writerFactory.apply(session);
    session.submit(payload, writer);
    if (known == null && isDraining) {
      session.refuse(stopping(request));
    }
    return Optional.of(writer);
  }

  /** Refuses the requests that have not been dispatched, because the host stops now. */
  public void refuseUndispatched() {
    List.copyOf(sessions.all()).stream()
        .filter(session -> session.isActive() && !session.isDispatched())
        .forEach(session -> session.refuse(stopping(session.request())));
  }

  private Problem stopping(RequestIdentity request) {
    return Problem.notExecuted(503, "draining", "this host is being stopped")
        .withAddresses(successorAddresses(request));
  }

  /** Returns the problem for a request that does not fit into the session table. */
  static Problem tableFull(Problem.ExecutionStatus executionStatus) {
    return Problem.of(
            TOO_MANY_REQUESTS, "too many requests", "too many ids are in use", executionStatus)
        .withRetryAfter(TABLE_FULL_RETRY_AFTER);
  }

  private int permittedHostCount(RequestIdentity request) {
    long hosts =
        context.membership().liveMembers().stream()
            .filter(member -> !member.draining())
            .filter(member -> request.service().dataCentres().contains(member.dataCentre()))
            .count();
    return (int) Math.max(1, hosts);
  }

  private void onSettled(RequestSession session) {
    admissionControl.finish(session.request().idText(), session.usedTokens());
  }

  private boolean isActive(String id) {
    RequestSession session = sessions.get(id);
    return session != null && session.isActive();
  }

  private List<String> successorAddresses(RequestIdentity request) {
    return ProblemFactory.callerAddresses(context, request.ticket(), Ticket.FIRST_SUCCESSOR);
  }

  void onCallerDisconnected(RequestIdentity request, ResponseWriter caller) {
    session(request.idText()).ifPresent(session -> session.onCallerDisconnected(caller));
  }

  private RequestSession createSession(RequestIdentity request) {
    RequestSession session = new RequestSession(context, request, tierCounters, this::onSettled);
    sessions.add(session);
    return session;
  }

  /** Passes a grant to its session; a grant for an unknown request is withdrawn at the broker. */
  private void onGrant(PeerIdentity from, Grant grant, Consumer<PeerMessage> reply) {
    reply.accept(Acknowledgement.builder().build());
    RequestSession session = sessions.get(grant.requestId());
    if (session != null) {
      session.onGrant(grant);
      return;
    }
    SlotRequestKey key = new SlotRequestKey(grant.requestId(), grant.attempt());
    Withdraw withdraw =
        Withdraw.builder()
            .requestId(key.requestId())
            .attempt(key.attempt())
            .endpoint(grant.endpoint())
            .build();
    context
        .peers()
        .requestWithRetries(
            from.address(), from.incarnation(), withdraw, Duration.ofMillis(500), 2);
  }

  private void onRefusal(PeerIdentity from, Refusal refusal, Consumer<PeerMessage> reply) {
    reply.accept(Acknowledgement.builder().build());
    session(refusal.requestId()).ifPresent(session -> session.onRefusal(refusal));
  }

  private void onWriteRegister(
      PeerIdentity from, WriteRegister message, Consumer<PeerMessage> reply) {
    Optional<RegisterOperation> operation = RegisterMessages.toOperation(message);
    if (operation.isEmpty()) {
      return;
    }
    Incarnation writer = Incarnation.parse(from.incarnation());
    context
        .witness()
        .write(message.requestId(), writer, operation.get())
        .map(result -> RegisterMessages.toMessage(message.requestId(), result))
        .ifPresent(reply);
  }

  private void onReadRegister(
      PeerIdentity from, ReadRegister message, Consumer<PeerMessage> reply) {
    RequestId.parse(message.requestId())
        .map(context.witness()::read)
        .map(result -> RegisterMessages.toMessage(message.requestId(), result))
        .ifPresent(reply);
  }

  private void onRequestStatus(
      PeerIdentity from, RequestStatus message, Consumer<PeerMessage> reply) {
    Optional<RequestId> id = RequestId.parse(message.requestId());
    if (id.isEmpty()) {
      return;
    }
    try {
      Ticket ticket = context.tickets().decodeIgnoringExpiry(id.get().token());
      Incarnation requester = Incarnation.parse(from.incarnation());
      status(id.get(), ticket, ticket.positionOf(requester))
          .map(result -> RegisterMessages.toMessage(message.requestId(), result))
          .ifPresent(reply);
    } catch (TicketException e) {
      context.metrics().count("forged-status-request");
    }
  }

  /**
   * Returns the state of a request, or empty if no reply may be sent.
   *
   * <p>An owner that has not started the request yields it to the first successor that asks, and
   * must remember that it did so. If its session table is full, it cannot remember and does not
   * reply.
   */
  private Optional<ChainMemberReply> status(RequestId id, Ticket ticket, int requesterPosition) {
    RequestSession session = sessions.get(id.toString());
    if (session != null) {
      return Optional.of(session.status(requesterPosition));
    }
    boolean isOwner = ticket.positionOf(context.host().incarnation()) == Ticket.OWNER;
    Optional<RequestIdentity> request =
        isOwner ? RequestIdentity.of(id, ticket, context.configuration().get()) : Optional.empty();
    if (request.isPresent()) {
      return sessions.hasCapacity(ticket.customer())
          ? Optional.of(createSession(request.get()).status(requesterPosition))
          : Optional.empty();
    }
    RegisterReply reply = context.witness().read(id);
    RegisterRecord record = reply.record();
    return Optional.of(ChainMemberReply.ofRecord(record));
  }

  private void onMembershipChanged() {
    List.copyOf(sessions.all()).forEach(RequestSession::onMembershipChanged);
  }

  private void sweep() {
    long now = context.loop().epochMillis();
    long resumeWindowStart = now - context.resumeWindow().toMillis();
    sessions.removeExpired(now);
    admissionControl.finishUnless(this::isActive);
    sessions.all().forEach(session -> session.dropContentIfSettledBefore(resumeWindowStart));
  }
}
