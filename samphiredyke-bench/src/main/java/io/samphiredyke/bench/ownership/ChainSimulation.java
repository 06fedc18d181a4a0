package io.samphiredyke.bench.ownership;

import io.samphiredyke.core.invariant.InvariantChecker;
import io.samphiredyke.core.ownership.ChainMember;
import io.samphiredyke.core.ownership.Incarnation;
import io.samphiredyke.core.ownership.OwnershipAnswer;
import io.samphiredyke.core.ownership.OwnershipDecision;
import io.samphiredyke.core.ownership.OwnershipEvent;
import io.samphiredyke.core.ownership.OwnershipPhase;
import io.samphiredyke.core.ownership.OwnershipStateMachine;
import io.samphiredyke.core.ownership.RegisterLimits;
import io.samphiredyke.core.ownership.RegisterOperation;
import io.samphiredyke.core.ownership.RegisterReply;
import io.samphiredyke.core.ownership.RequestId;
import io.samphiredyke.core.ownership.Ticket;
import io.samphiredyke.core.ownership.WitnessRegister;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Simulates one request through the production state machines and registers of a chain of three
 * members, with one injected fault.
 *
 * <p>Messages are delivered immediately or not at all. Messages to a paused process are deferred
 * until it resumes.
 */
final class ChainSimulation {

  private static final int MEMBERS = 3;
  private static final long NOW = 0;
  private static final long EXPIRY = 1_000_000;
  private static final String ENDPOINT = "10.0.9.1:80";
  private static final String BODY = "body";

  private record Delivery(int node, OwnershipEvent event) {}

  private final OwnershipFault fault;
  private final RequestStage faultStage;
  private final Ticket ticket = ticket();
  private final RequestId id = new RequestId("ticket", 1);
  private final List<OwnershipStateMachine> machines = new ArrayList<>();
  private final List<WitnessRegister> registers = new ArrayList<>();
  private final ArrayDeque<Delivery> queue = new ArrayDeque<>();
  private final ArrayDeque<Delivery> deferred = new ArrayDeque<>();
  private boolean isFaultInjected;
  private boolean isEntryRunning = true;
  private boolean endpointHasRequest;
  private int executions;
  private int messages;
  private boolean notRunReported;
  private @Nullable OwnershipAnswer lastResponse;
  private int lastResponder;

  ChainSimulation(OwnershipFault fault, RequestStage faultStage, InvariantChecker invariants) {
    this.fault = fault;
    this.faultStage = faultStage;
    for (int place = 0; place < MEMBERS; place++) {
      Incarnation self = ticket.chain().get(place).incarnation();
      machines.add(new OwnershipStateMachine(ticket, self, invariants));
      registers.add(new WitnessRegister(self, RegisterLimits.DEFAULT, invariants));
    }
  }

  /** Runs the request with the fault and the caller's retries. */
  FaultOutcome run() {
    submit(Ticket.OWNER);
    if (fault != OwnershipFault.NONE && !isFaultInjected) {
      injectFault();
    }
    for (int retries = 0; retries < MEMBERS && !isSettled(); retries++) {
      submit(nextAddress());
    }
    if (fault == OwnershipFault.ENTRY_PAUSED) {
      resumeEntry();
    }
    boolean isUnknown = lastResponse instanceof OwnershipAnswer.Unknown;
    return new FaultOutcome(executions, isUnknown, notRunReported && executions > 0, false);
  }

  /** Returns the number of messages sent between members of the chain. */
  int messages() {
    return messages;
  }

  private void submit(int place) {
    lastResponse = null;
    queue.add(new Delivery(place, new OwnershipEvent.Submitted(BODY)));
    deliverQueued();
  }

  private int nextAddress() {
    if (lastResponse instanceof OwnershipAnswer.Redirect redirect && isUp(redirect.place())) {
      return redirect.place();
    }
    for (int place = 0; place < MEMBERS; place++) {
      if (isUp(place) && !(lastResponse != null && place == lastResponder)) {
        return place;
      }
    }
    return Ticket.SECOND_SUCCESSOR;
  }

  private boolean isSettled() {
    if (lastResponse != null) {
      return lastResponse instanceof OwnershipAnswer.NotRun
          || lastResponse instanceof OwnershipAnswer.Unknown;
    }
    for (int place = 0; place < MEMBERS; place++) {
      if (isUp(place) && machines.get(place).state().phase() == OwnershipPhase.FINISHED) {
        return true;
      }
    }
    return false;
  }

  private void resumeEntry() {
    isEntryRunning = true;
    queue.addAll(deferred);
    deferred.clear();
    deliverQueued();
  }

  private void deliverQueued() {
    while (!queue.isEmpty()) {
      Delivery delivery = queue.remove();
      int node = delivery.node();
      if (!isUp(node)) {
        deferred.add(delivery);
        continue;
      }
      for (OwnershipDecision decision : machines.get(node).handle(delivery.event())) {
        execute(node, decision);
      }
    }
  }

  private void execute(int node, OwnershipDecision decision) {
    if (decision instanceof OwnershipDecision.Claim) {
      injectFaultAt(RequestStage.QUEUED);
      queue.add(new Delivery(node, new OwnershipEvent.Granted(ENDPOINT)));
    } else if (decision instanceof OwnershipDecision.WriteRegister write) {
      write(node, write.place(), write.operation());
    } else if (decision instanceof OwnershipDecision.ReadRegister read) {
      read(node, read.place());
    } else if (decision instanceof OwnershipDecision.AskMember ask) {
      ask(node, ask.place());
    } else if (decision instanceof OwnershipDecision.Dispatch dispatch) {
      dispatch(node, dispatch.attempt());
    } else if (decision instanceof OwnershipDecision.ResumeFrom resume) {
      resume(node, resume.attempt());
    } else if (decision instanceof OwnershipDecision.Tell response) {
      lastResponse = response.answer();
      lastResponder = node;
      notRunReported |= lastResponse instanceof OwnershipAnswer.NotRun;
    }
  }

  private void write(int node, int place, RegisterOperation operation) {
    injectFaultAt(RequestStage.INTENT_SENT);
    messages += node == place ? 0 : 1;
    if (!isReachable(node, place)) {
      queue.add(new Delivery(node, new OwnershipEvent.RegisterUnreachable(place, operation, true)));
      return;
    }
    Incarnation writer = ticket.chain().get(node).incarnation();
    RegisterReply reply = registers.get(place).apply(id, ticket, writer, operation, NOW);
    injectFaultAt(RequestStage.INTENT_RECORDED);
    boolean isReplyExpected = !(operation instanceof RegisterOperation.Outcome);
    messages += node == place || !isReplyExpected ? 0 : 1;
    if (!isReachable(place, node) && isUp(node)) {
      queue.add(new Delivery(node, new OwnershipEvent.RegisterUnreachable(place, operation, true)));
      return;
    }
    queue.add(new Delivery(node, new OwnershipEvent.RegisterReplied(place, operation, reply)));
  }

  private void read(int node, int place) {
    if (!isReachable(node, place)) {
      queue.add(new Delivery(node, new OwnershipEvent.RegisterUnreachable(place, null, true)));
      return;
    }
    RegisterReply reply = registers.get(place).read(id);
    queue.add(new Delivery(node, new OwnershipEvent.RegisterReplied(place, null, reply)));
  }

  private void ask(int node, int place) {
    if (!isReachable(node, place)) {
      queue.add(new Delivery(node, new OwnershipEvent.ChainMemberUnreachable(place)));
      return;
    }
    OwnershipStateMachine machine = machines.get(place);
    for (OwnershipDecision decision : machine.handle(new OwnershipEvent.StateQueried(node))) {
      execute(place, decision);
    }
    queue.add(new Delivery(node, new OwnershipEvent.ChainMemberReplied(place, machine.reply())));
  }

  private void dispatch(int node, int attempt) {
    boolean isLostInFlight =
        injectFaultAt(RequestStage.DISPATCHED) && fault.breaksEndpointConnection();
    if (!isLostInFlight) {
      executions++;
      endpointHasRequest = true;
    }
    boolean isInterrupted = injectFaultAt(RequestStage.RUNNING) && fault.breaksEndpointConnection();
    if (isUp(node)) {
      boolean isBroken = isLostInFlight || isInterrupted;
      queue.add(
          new Delivery(
              node,
              isBroken
                  ? new OwnershipEvent.StreamBroken(attempt)
                  : new OwnershipEvent.Ended(attempt)));
    }
  }

  private void resume(int node, int attempt) {
    queue.add(
        new Delivery(
            node,
            endpointHasRequest
                ? new OwnershipEvent.Ended(attempt)
                : new OwnershipEvent.ResumeNotFound(attempt)));
  }

  private boolean injectFaultAt(RequestStage reached) {
    if (isFaultInjected || reached != faultStage || fault == OwnershipFault.NONE) {
      return false;
    }
    injectFault();
    return true;
  }

  private void injectFault() {
    isFaultInjected = true;
    isEntryRunning = fault != OwnershipFault.ENTRY_PAUSED;
    if (fault == OwnershipFault.ENDPOINT_DIES) {
      endpointHasRequest = false;
    }
  }

  private boolean isReachable(int from, int to) {
    boolean isPartitioned =
        isFaultInjected
            && fault == OwnershipFault.ENTRY_CUT_FROM_WITNESS
            && from + to == 1
            && from != to;
    return isUp(from) && isUp(to) && !isPartitioned;
  }

  private boolean isUp(int place) {
    if (!isFaultInjected) {
      return true;
    }
    return switch (fault) {
      case ENTRY_DIES -> place != Ticket.OWNER;
      case ENTRY_AND_WITNESS_DIE -> place == Ticket.SECOND_SUCCESSOR;
      case ENTRY_PAUSED -> place != Ticket.OWNER || isEntryRunning;
      default -> true;
    };
  }

  private static Ticket ticket() {
    List<ChainMember> chain = new ArrayList<>();
    for (int place = 0; place < MEMBERS; place++) {
      chain.add(new ChainMember(new Incarnation(0, place + 1), "10.0." + place + ".1:80", true));
    }
    return new Ticket(new Incarnation(1, 1), chain, "customer", "service", NOW, EXPIRY);
  }
}
