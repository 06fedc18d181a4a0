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

/** The requests that this entry knows. All methods run on the control loop. */
public final class EntryService {

  private static final Duration SWEEP_INTERVAL = Duration.ofSeconds(5);
  private static final Duration MEMORY_INTERVAL = Duration.ofMillis(100);
  private static final Duration TABLE_WAIT = Duration.ofSeconds(10);
  private static final int TOO_MANY = 429;

  private final EntryContext context;
  private final SessionTable sessions;
  private final AdmissionControl admissions;
  private final TierCounters counts = new TierCounters();
  private boolean isDraining;

  /** Creates an entry without requests. */
  public EntryService(EntryContext context) {
    this.context = context;
    this.sessions = new SessionTable(context.limits());
    this.admissions = new AdmissionControl(context, this::sharingEntries);
  }

  /** Adds the routes of the messages that brokers and other entries send. */
  public void register(MessageRouter router) {
    router.on(Grant.class, this::onGrant);
    router.on(Refusal.class, this::onRefusal);
    router.on(WriteRegister.class, this::onWriteRegister);
    router.on(ReadRegister.class, this::onReadRegister);
    router.on(RequestStatus.class, this::onRequestStatus);
  }

  /** Starts to forget the requests of expired tickets. */
  public void start() {
    context.loop().scheduleWithFixedDelay(this::sweep, SWEEP_INTERVAL);
    context.loop().scheduleWithFixedDelay(sessions::dropAnswersWhileFull, MEMORY_INTERVAL);
    context.membership().onChange(change -> membersChanged());
  }

  /** Returns the requests that this entry still works on. */
  public long activeRequests() {
    return sessions.all().stream().filter(RequestSession::isActive).count();
  }

  /** Returns the number of requests that this entry remembers. */
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

  /** Returns a request by its id. */
  Optional<RequestSession> session(String id) {
    return sessions.find(id);
  }

  /** Returns what is known of a request, if it is known here. */
  public Optional<RequestExplanation> explain(String id) {
    return session(id).map(RequestSession::explain);
  }

  /** Returns the requests of each tier. */
  public List<TierStatus> tiers() {
    return counts.status(context.configuration().get(), sessions.all());
  }

  /**
   * Takes a request, or a repetition of one.
   *
   * @param payload the body, or null to ask for what is known
   * @param caller makes the delivery to the caller from the request's session
   * @return the delivery, to be ended when the caller leaves; empty if this entry cannot remember
   *     one more request
   */
  Optional<ResponseWriter> submit(
      RequestIdentity request,
      @Nullable Payload payload,
      java.util.function.Function<RequestSession, ResponseWriter> caller) {
    RequestSession known = sessions.get(request.idText());
    if (known == null && !sessions.hasRoom(request.customer().name())) {
      context.metrics().count("refused-request-table");
      return Optional.empty();
    }
    RequestSession session = known == null ? open(request) : known;
    if (payload != null && session.lacksBody()) {
      admissions.admit(request, session.estimate(payload)).ifPresent(session::refuseNext);
    }
    ResponseWriter delivery = caller.apply(session);
    session.submit(payload, delivery);
    if (known == null && isDraining) {
      session.refuse(
          Problem.notRun(503, "draining", "this host is being stopped")
              .withAddresses(otherAddresses(request)));
    }
    return Optional.of(delivery);
  }

  /** Returns the refusal of a request that cannot be remembered. */
  static Problem tableFull(Problem.ExecutionStatus ran) {
    return Problem.of(TOO_MANY, "too many requests", "too many ids are in use", ran)
        .withRetryAfter(TABLE_WAIT);
  }

  private int sharingEntries(RequestIdentity request) {
    long hosts =
        context.membership().liveMembers().stream()
            .filter(member -> !member.draining())
            .filter(member -> request.service().dataCentres().contains(member.dataCentre()))
            .count();
    return (int) Math.max(1, hosts);
  }

  private void settled(RequestSession session) {
    admissions.finish(session.request().idText(), session.usedTokens());
  }

  private boolean isActive(String id) {
    RequestSession session = sessions.get(id);
    return session != null && session.isActive();
  }

  private List<String> otherAddresses(RequestIdentity request) {
    return ProblemFactory.callerAddresses(context, request.ticket(), Ticket.FIRST_SUCCESSOR);
  }

  void callerLeft(RequestIdentity request, ResponseWriter caller) {
    session(request.idText()).ifPresent(session -> session.callerLeft(caller));
  }

  private RequestSession open(RequestIdentity request) {
    RequestSession session = new RequestSession(context, request, counts, this::settled);
    sessions.add(session);
    return session;
  }

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
        .deliver(from.address(), from.incarnation(), withdraw, Duration.ofMillis(500), 2);
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
        .map(answer -> RegisterMessages.toMessage(message.requestId(), answer))
        .ifPresent(reply);
  }

  private void onReadRegister(
      PeerIdentity from, ReadRegister message, Consumer<PeerMessage> reply) {
    RequestId.parse(message.requestId())
        .map(context.witness()::read)
        .map(answer -> RegisterMessages.toMessage(message.requestId(), answer))
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
      Incarnation asker = Incarnation.parse(from.incarnation());
      status(id.get(), ticket, ticket.positionOf(asker))
          .map(answer -> RegisterMessages.toMessage(message.requestId(), answer))
          .ifPresent(reply);
    } catch (TicketException e) {
      context.metrics().count("forged-status-request");
    }
  }

  /** Returns the state, or empty if this owner cannot remember that it was asked. */
  private Optional<ChainMemberReply> status(RequestId id, Ticket ticket, int askerPlace) {
    RequestSession session = sessions.get(id.toString());
    if (session != null) {
      return Optional.of(session.status(askerPlace));
    }
    boolean isOwner = ticket.positionOf(context.host().incarnation()) == Ticket.OWNER;
    Optional<RequestIdentity> request =
        isOwner ? RequestIdentity.of(id, ticket, context.configuration().get()) : Optional.empty();
    if (request.isPresent()) {
      return sessions.hasRoom(ticket.customer())
          ? Optional.of(open(request.get()).status(askerPlace))
          : Optional.empty();
    }
    RegisterReply recorded = context.witness().read(id);
    RegisterRecord record = recorded.record();
    return Optional.of(ChainMemberReply.ofRecord(record));
  }

  private void membersChanged() {
    List.copyOf(sessions.all()).forEach(RequestSession::membersChanged);
  }

  private void sweep() {
    long now = context.loop().epochMillis();
    long contentKept = now - context.resumeWindow().toMillis();
    sessions.removeExpired(now);
    admissions.finishUnless(this::isActive);
    sessions.all().forEach(session -> session.forgetContent(contentKept));
  }
}
