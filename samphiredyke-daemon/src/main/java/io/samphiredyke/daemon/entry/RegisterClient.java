package io.samphiredyke.daemon.entry;

import io.samphiredyke.core.ownership.ChainMember;
import io.samphiredyke.core.ownership.ChainMemberReply;
import io.samphiredyke.core.ownership.OwnershipEvent;
import io.samphiredyke.core.ownership.RegisterOperation;
import io.samphiredyke.core.ownership.RegisterReply;
import io.samphiredyke.daemon.peer.RegisterMessages;
import io.samphiredyke.net.peer.PeerUnreachableException;
import io.samphiredyke.schema.message.PeerMessage;
import io.samphiredyke.schema.message.ReadRegister;
import io.samphiredyke.schema.message.RequestStatus;
import io.samphiredyke.schema.message.RequestStatusReply;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Reads and writes the registers of a request at the members of its chain and queries the members'
 * state of the request.
 *
 * <p>Positions are those in the ticket's chain. Results are reported as events of the ownership
 * state machine.
 */
final class RegisterClient {

  private static final Duration FIRST_TIMEOUT = Duration.ofMillis(400);
  private static final int ATTEMPTS = 4;
  private static final int STATUS_ATTEMPTS = 2;

  private final EntryContext context;
  private final RequestIdentity request;
  private final Consumer<OwnershipEvent> events;

  RegisterClient(EntryContext context, RequestIdentity request, Consumer<OwnershipEvent> events) {
    this.context = context;
    this.request = request;
    this.events = events;
  }

  void write(int position, RegisterOperation operation) {
    if (isSelf(position)) {
      writeLocally(position, operation);
      return;
    }
    PeerMessage message = RegisterMessages.toMessage(request.idText(), operation);
    send(
        position,
        message,
        ATTEMPTS,
        FIRST_TIMEOUT,
        false,
        reply -> onWriteReply(position, operation, reply),
        mayHaveArrived ->
            events.accept(
                new OwnershipEvent.RegisterUnreachable(position, operation, mayHaveArrived)));
  }

  private void writeLocally(int position, RegisterOperation operation) {
    Optional<RegisterReply> reply =
        context.witness().write(request.idText(), context.host().incarnation(), operation);
    reply.ifPresent(
        known -> events.accept(new OwnershipEvent.RegisterReplied(position, operation, known)));
  }

  private void onWriteReply(int position, RegisterOperation operation, PeerMessage message) {
    Optional<RegisterReply> reply = toReply(message);
    if (reply.isPresent()) {
      events.accept(new OwnershipEvent.RegisterReplied(position, operation, reply.get()));
    } else {
      events.accept(new OwnershipEvent.RegisterUnreachable(position, operation, true));
    }
  }

  void read(int position) {
    if (isSelf(position)) {
      RegisterReply reply = context.witness().read(request.id());
      events.accept(new OwnershipEvent.RegisterReplied(position, null, reply));
      return;
    }
    PeerMessage message = ReadRegister.builder().requestId(request.idText()).build();
    send(
        position,
        message,
        ATTEMPTS,
        FIRST_TIMEOUT,
        false,
        reply ->
            toReply(reply)
                .ifPresentOrElse(
                    known ->
                        events.accept(new OwnershipEvent.RegisterReplied(position, null, known)),
                    () -> onReadFailed(position)),
        mayHaveArrived -> onReadFailed(position));
  }

  private void onReadFailed(int position) {
    events.accept(new OwnershipEvent.RegisterUnreachable(position, null, true));
  }

  void requestStatus(int position) {
    PeerMessage message = RequestStatus.builder().requestId(request.idText()).build();
    send(
        position,
        message,
        STATUS_ATTEMPTS,
        FIRST_TIMEOUT,
        false,
        reply -> onStatus(position, reply),
        mayHaveArrived -> events.accept(new OwnershipEvent.ChainMemberUnreachable(position)));
  }

  private void onStatus(int position, PeerMessage message) {
    Optional<ChainMemberReply> reply =
        message instanceof RequestStatusReply status
            ? RegisterMessages.toChainMemberReply(status)
            : Optional.empty();
    if (reply.isPresent()) {
      events.accept(new OwnershipEvent.ChainMemberReplied(position, reply.get()));
    } else {
      events.accept(new OwnershipEvent.ChainMemberUnreachable(position));
    }
  }

  /**
   * Sends an idempotent message until it is answered or the attempts are used up, and doubles the
   * timeout after each attempt. A connection that does not respond is replaced between attempts.
   *
   * @param mayHaveArrived whether an earlier attempt may have reached the member
   * @param onFailure receives whether any attempt may have reached the member
   */
  private void send(
      int position,
      PeerMessage message,
      int attempts,
      Duration timeout,
      boolean mayHaveArrived,
      Consumer<PeerMessage> onReply,
      Consumer<Boolean> onFailure) {
    ChainMember member = request.ticket().chain().get(position);
    context
        .peers()
        .request(
            member.address(),
            member.incarnation().toString(),
            message,
            timeout,
            onReply,
            failure -> {
              boolean arrived = mayHaveArrived || mayHaveArrived(failure);
              if (attempts > 1 && !isReplaced(member)) {
                send(
                    position,
                    message,
                    attempts - 1,
                    timeout.multipliedBy(2),
                    arrived,
                    onReply,
                    onFailure);
              } else {
                onFailure.accept(arrived);
              }
            });
  }

  /**
   * Returns whether another process now has the member's address, so that a retry cannot succeed.
   */
  private boolean isReplaced(ChainMember member) {
    return context
        .membership()
        .find(member.address())
        .map(known -> !known.incarnation().toString().equals(member.incarnation().toString()))
        .orElse(false);
  }

  private static boolean mayHaveArrived(Throwable failure) {
    return !(failure instanceof PeerUnreachableException known) || known.mayHaveArrived();
  }

  private static Optional<RegisterReply> toReply(PeerMessage message) {
    return message instanceof io.samphiredyke.schema.message.RegisterReply reply
        ? RegisterMessages.toReply(reply)
        : Optional.empty();
  }

  private boolean isSelf(int position) {
    ChainMember member = request.ticket().chain().get(position);
    return member.incarnation().equals(context.host().incarnation());
  }
}
