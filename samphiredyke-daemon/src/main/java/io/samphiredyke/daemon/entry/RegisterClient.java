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

/** Carries out what a request's owner asks of the registers and of the members of its chain. */
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

  void write(int place, RegisterOperation operation) {
    if (isSelf(place)) {
      writeLocally(place, operation);
      return;
    }
    PeerMessage message = RegisterMessages.toMessage(request.idText(), operation);
    send(
        place,
        message,
        ATTEMPTS,
        FIRST_TIMEOUT,
        false,
        reply -> onWriteReply(place, operation, reply),
        mayHaveArrived ->
            events.accept(
                new OwnershipEvent.RegisterUnreachable(place, operation, mayHaveArrived)));
  }

  private void writeLocally(int place, RegisterOperation operation) {
    Optional<RegisterReply> reply =
        context.witness().write(request.idText(), context.host().incarnation(), operation);
    reply.ifPresent(
        answer -> events.accept(new OwnershipEvent.RegisterReplied(place, operation, answer)));
  }

  private void onWriteReply(int place, RegisterOperation operation, PeerMessage message) {
    Optional<RegisterReply> reply = toReply(message);
    if (reply.isPresent()) {
      events.accept(new OwnershipEvent.RegisterReplied(place, operation, reply.get()));
    } else {
      events.accept(new OwnershipEvent.RegisterUnreachable(place, operation, true));
    }
  }

  void read(int place) {
    if (isSelf(place)) {
      RegisterReply reply = context.witness().read(request.id());
      events.accept(new OwnershipEvent.RegisterReplied(place, null, reply));
      return;
    }
    PeerMessage message = ReadRegister.builder().requestId(request.idText()).build();
    send(
        place,
        message,
        ATTEMPTS,
        FIRST_TIMEOUT,
        false,
        reply ->
            toReply(reply)
                .ifPresentOrElse(
                    answer ->
                        events.accept(new OwnershipEvent.RegisterReplied(place, null, answer)),
                    () -> onReadFailed(place)),
        mayHaveArrived -> onReadFailed(place));
  }

  private void onReadFailed(int place) {
    events.accept(new OwnershipEvent.RegisterUnreachable(place, null, true));
  }

  void requestStatus(int place) {
    PeerMessage message = RequestStatus.builder().requestId(request.idText()).build();
    send(
        place,
        message,
        STATUS_ATTEMPTS,
        FIRST_TIMEOUT,
        false,
        reply -> onStatus(place, reply),
        mayHaveArrived -> events.accept(new OwnershipEvent.ChainMemberUnreachable(place)));
  }

  private void onStatus(int place, PeerMessage message) {
    Optional<ChainMemberReply> reply =
        message instanceof RequestStatusReply status
            ? RegisterMessages.toOwnerReply(status)
            : Optional.empty();
    if (reply.isPresent()) {
      events.accept(new OwnershipEvent.ChainMemberReplied(place, reply.get()));
    } else {
      events.accept(new OwnershipEvent.ChainMemberUnreachable(place));
    }
  }

  /**
   * Sends an idempotent message a few times with doubled timeouts; a silent connection is replaced
   * in between.
   */
  private void send(
      int place,
      PeerMessage message,
      int attempts,
      Duration timeout,
      boolean mayHaveArrived,
      Consumer<PeerMessage> onReply,
      Consumer<Boolean> onFailure) {
    ChainMember member = request.ticket().chain().get(place);
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
                    place,
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

  /** Returns whether another process has the member's address, so that a retry is in vain. */
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

  private boolean isSelf(int place) {
    ChainMember member = request.ticket().chain().get(place);
    return member.incarnation().equals(context.host().incarnation());
  }
}
