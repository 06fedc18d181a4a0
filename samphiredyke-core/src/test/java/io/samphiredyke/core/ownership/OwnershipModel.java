package io.samphiredyke.core.ownership;

import io.samphiredyke.core.invariant.InvariantChecker;
import io.samphiredyke.core.ownership.ModelConfig.Fault;
import io.samphiredyke.core.ownership.OwnershipEvent.CallerLeft;
import io.samphiredyke.core.ownership.OwnershipEvent.ChainMemberReplied;
import io.samphiredyke.core.ownership.OwnershipEvent.ChainMemberUnreachable;
import io.samphiredyke.core.ownership.OwnershipEvent.Ended;
import io.samphiredyke.core.ownership.OwnershipEvent.Granted;
import io.samphiredyke.core.ownership.OwnershipEvent.NotDispatched;
import io.samphiredyke.core.ownership.OwnershipEvent.Refuse;
import io.samphiredyke.core.ownership.OwnershipEvent.RegisterReplied;
import io.samphiredyke.core.ownership.OwnershipEvent.RegisterUnreachable;
import io.samphiredyke.core.ownership.OwnershipEvent.ResumeNotFound;
import io.samphiredyke.core.ownership.OwnershipEvent.StreamBroken;
import io.samphiredyke.core.ownership.OwnershipEvent.Submitted;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;

/**
 * Transition relation of the model: the production state machines and registers, connected by
 * messages.
 *
 * <p>Violations of invariants in production code are counted and do not stop the exploration, so
 * that each mutation shows its effect on callers.
 */
final class OwnershipModel {

  static final int NOT_RUN_REPORTED = 1;
  static final int UNKNOWN_REPORTED = 2;
  static final int ENDPOINT_LOST = 4;
  static final int RESUMED_BEFORE_ARRIVAL = 8;
  static final int FIRST_CRASHED_FLAG = 16;

  private record Dispatched(int node, String endpoint, int attempt) {}

  private record StepResult(int state, List<OwnershipDecision> decisions) {}

  private final ModelConfig config;
  private final Ticket ticket;
  private final InvariantChecker invariants = new InvariantChecker((invariant, detail) -> {});
  private final Interner<OwnershipState> states = new Interner<>();
  private final Interner<RegisterRecord> records = new Interner<>();
  private final Interner<ModelMessage> messages = new Interner<>();
  private final Interner<Dispatched> dispatches = new Interner<>();
  private final Map<List<Object>, StepResult> steps = new HashMap<>();
  private final Map<List<Object>, RegisterReply> replies = new HashMap<>();

  OwnershipModel(ModelConfig config) {
    this.config = config;
    this.ticket = Fixtures.ticket(config.chainLength(), config.firstMayReceivePayload());
    states.indexOf(OwnershipState.initial());
    records.indexOf(
        new RegisterRecord(Fixtures.STRANGER, RegisterRecord.Status.TAKEN, 0, "", "", ""));
  }

  InvariantChecker invariants() {
    return invariants;
  }

  OwnershipState state(ModelState modelState, int node) {
    return states.value(modelState.words[node]);
  }

  /** Passes the description and the resulting state of each possible step to the consumer. */
  void forEachStep(ModelState modelState, BiConsumer<Object, ModelState> consumer) {
    for (int node : config.nodes()) {
      if (isAlive(modelState, node)) {
        localSteps(modelState, node, consumer);
        endpointSteps(modelState, node, consumer);
      }
    }
    for (int number = 0; number < dispatches.size(); number++) {
      arrivalSteps(modelState, number, consumer);
    }
    for (int number = 0; number < messages.size(); number++) {
      if (modelState.hasMessage(number)) {
        deliverySteps(modelState, messages.value(number), consumer);
      }
    }
    faultSteps(modelState, consumer);
  }

  private void localSteps(
      ModelState modelState, int node, BiConsumer<Object, ModelState> consumer) {
    OwnershipState state = state(modelState, node);
    if (!state.callerWaiting()) {
      step(modelState, node, new Submitted("body"), consumer);
    }
    boolean isWaiting = state.callerWaiting();
    OwnershipPhase phase = state.phase();
    if (phase == OwnershipPhase.OWNING && isWaiting && state.attempt() < config.maxAttempts()) {
      for (int endpoint = 0; endpoint < config.endpoints(); endpoint++) {
        step(modelState, node, new Granted("endpoint" + endpoint), consumer);
      }
    }
    boolean isUndispatched =
        phase == OwnershipPhase.OWNING || phase == OwnershipPhase.INTENT_PENDING;
    if (isWaiting && isUndispatched) {
      step(modelState, node, new CallerLeft(), consumer);
      step(modelState, node, new Refuse("shed"), consumer);
    }
    int target = state.target();
    if (target == Ticket.NOT_IN_CHAIN || !isTimeoutPossible(modelState, target)) {
      return;
    }
    if (state.awaitedWrite() != null) {
      step(modelState, node, new RegisterUnreachable(target, state.awaitedWrite(), true), consumer);
    }
    if (phase == OwnershipPhase.CONSULTING) {
      step(modelState, node, new RegisterUnreachable(target, null, true), consumer);
    }
    if (phase == OwnershipPhase.ASKING) {
      step(modelState, node, new ChainMemberUnreachable(target), consumer);
    }
  }

  private void endpointSteps(
      ModelState modelState, int node, BiConsumer<Object, ModelState> consumer) {
    OwnershipState state = state(modelState, node);
    int attempt = state.attempt();
    if (state.phase() == OwnershipPhase.RECOVERING) {
      boolean isKnown = isKnownAt(modelState, state.endpoint());
      if (isKnown) {
        step(modelState, node, new Ended(attempt), consumer);
      }
      // In an asynchronous model the endpoint may also have lost the request.
      if (!isKnown || config.isAsynchronous()) {
        ModelState next = modelState.copy();
        if (!config.isAsynchronous() && modelState.words[ModelState.EXECUTED] == 0) {
          next.addFlag(RESUMED_BEFORE_ARRIVAL);
        }
        step(next, node, new ResumeNotFound(attempt), consumer);
      }
    }
    if (state.phase() != OwnershipPhase.DISPATCHED) {
      return;
    }
    int ownBit = 1 << dispatches.indexOf(new Dispatched(node, state.endpoint(), attempt));
    boolean isPending = (modelState.words[ModelState.PENDING] & ownBit) != 0;
    if (isPending) {
      ModelState next = modelState.copy();
      next.words[ModelState.PENDING] &= ~ownBit;
      step(next, node, new NotDispatched(attempt), consumer);
    } else if (!modelState.hasFlag(ENDPOINT_LOST)) {
      step(modelState, node, new Ended(attempt), consumer);
    }
    if (config.faults().contains(Fault.TIMEOUT_REPORTED_AS_NOT_DISPATCHED)) {
      step(modelState, node, new NotDispatched(attempt), consumer);
    }
    if (!isPending || config.isAsynchronous()) {
      step(modelState, node, new StreamBroken(attempt), consumer);
    }
  }

  private void arrivalSteps(
      ModelState modelState, int number, BiConsumer<Object, ModelState> consumer) {
    int bit = 1 << number;
    if ((modelState.words[ModelState.PENDING] & bit) == 0) {
      return;
    }
    ModelState next = modelState.copy();
    next.words[ModelState.PENDING] &= ~bit;
    next.words[ModelState.EXECUTED] |= bit;
    consumer.accept(dispatches.value(number), next);
  }

  /**
   * Delivers a message, with and without its reply.
   *
   * <p>Because messages are never removed, a late reply is modelled as a repeated delivery of the
   * message. It gives the same reply, or one with the same effect on a state machine that no longer
   * awaits it.
   */
  private void deliverySteps(
      ModelState modelState, ModelMessage message, BiConsumer<Object, ModelState> consumer) {
    if (!isAlive(modelState, message.position())) {
      return;
    }
    ModelState next = modelState.copy();
    OwnershipEvent reply;
    if (message instanceof ModelMessage.Write write) {
      reply = applyWrite(next, write);
    } else if (message instanceof ModelMessage.StateQuery query) {
      next =
          advance(
              modelState,
              query.position(),
              new OwnershipEvent.StateQueried(positionOf(query.from())));
      reply = new ChainMemberReplied(query.position(), memberReply(next, query.position()));
    } else {
      RegisterRecord record = record(modelState, message.position());
      reply =
          new RegisterReplied(message.position(), null, new RegisterReply(status(record), record));
    }
    consumer.accept(message, next);
    if (isAlive(next, message.from())) {
      step(next, message.from(), reply, consumer);
    }
  }

  private OwnershipEvent applyWrite(ModelState modelState, ModelMessage.Write write) {
    RegisterReply reply = write(modelState, write);
    if (reply.record() != null) {
      modelState.words[ModelState.REGISTER_OFFSET + write.position()] =
          records.indexOf(reply.record());
    }
    return new RegisterReplied(write.position(), write.operation(), reply);
  }

  private ChainMemberReply memberReply(ModelState modelState, int position) {
    ChainMemberReply reply = machine(modelState, position).reply();
    if (reply.status() == ChainMemberReply.Status.NOT_HOLDING && position != Ticket.OWNER) {
      return ChainMemberReply.ofRecord(record(modelState, position));
    }
    return reply;
  }

  private static RegisterReply.Status status(RegisterRecord record) {
    return record == null ? RegisterReply.Status.ABSENT : RegisterReply.Status.ACCEPTED;
  }

  private static int positionOf(int node) {
    return node == ModelState.NODES - 1 ? Ticket.NOT_IN_CHAIN : node;
  }

  private void faultSteps(ModelState modelState, BiConsumer<Object, ModelState> consumer) {
    boolean isLossDistinct = !config.isAsynchronous() && !modelState.hasFlag(ENDPOINT_LOST);
    if (isLossDistinct && modelState.words[ModelState.EXECUTED] != 0) {
      ModelState next = modelState.copy();
      next.addFlag(ENDPOINT_LOST);
      consumer.accept("endpoint loses the request", next);
    }
    if (config.faults().contains(Fault.RESTART_KEEPS_INCARNATION)) {
      ModelState next = modelState.copy();
      next.words[Ticket.FIRST_SUCCESSOR] = 0;
      next.words[ModelState.REGISTER_OFFSET + Ticket.FIRST_SUCCESSOR] = 0;
      consumer.accept("first successor restarts", next);
    }
    if (crashedMembers(modelState) >= config.crashes()) {
      return;
    }
    for (int position = 0; position < config.chainLength(); position++) {
      if (isAlive(modelState, position)) {
        ModelState next = modelState.copy();
        next.addFlag(FIRST_CRASHED_FLAG << position);
        next.words[position] = 0;
        next.words[ModelState.REGISTER_OFFSET + position] = 0;
        consumer.accept("member " + position + " crashes", next);
      }
    }
  }

  private void step(
      ModelState modelState,
      int node,
      OwnershipEvent event,
      BiConsumer<Object, ModelState> consumer) {
    consumer.accept(List.of(node, event), advance(modelState, node, event));
  }

  private ModelState advance(ModelState modelState, int node, OwnershipEvent event) {
    StepResult stepped =
        steps.computeIfAbsent(
            List.of(node, modelState.words[node], event), key -> stepOf(modelState, node, event));
    ModelState next = modelState.copy();
    next.words[node] = stepped.state();
    for (OwnershipDecision decision : stepped.decisions()) {
      apply(next, node, decision);
    }
    return next;
  }

  private StepResult stepOf(ModelState modelState, int node, OwnershipEvent event) {
    OwnershipStateMachine machine = machine(modelState, node);
    List<OwnershipDecision> decisions = machine.handle(event);
    return new StepResult(states.indexOf(machine.state()), decisions);
  }

  private OwnershipStateMachine machine(ModelState modelState, int node) {
    return new OwnershipStateMachine(
        ticket, incarnation(node), state(modelState, node), config.rules(), invariants);
  }

  private void apply(ModelState modelState, int node, OwnershipDecision decision) {
    if (decision instanceof OwnershipDecision.WriteRegister write) {
      send(modelState, new ModelMessage.Write(node, write.place(), write.operation()));
    } else if (decision instanceof OwnershipDecision.ReadRegister read) {
      send(modelState, new ModelMessage.Read(node, read.place()));
    } else if (decision instanceof OwnershipDecision.AskMember query) {
      send(modelState, new ModelMessage.StateQuery(node, query.place()));
    } else if (decision instanceof OwnershipDecision.Dispatch dispatch) {
      Dispatched dispatched = new Dispatched(node, dispatch.endpoint(), dispatch.attempt());
      modelState.words[ModelState.PENDING] |= 1 << dispatches.indexOf(dispatched);
    } else if (decision instanceof OwnershipDecision.Tell tell) {
      recordAnswer(modelState, tell.answer());
    }
  }

  private void recordAnswer(ModelState modelState, OwnershipAnswer answer) {
    if (answer instanceof OwnershipAnswer.NotRun) {
      modelState.addFlag(NOT_RUN_REPORTED);
    } else if (answer instanceof OwnershipAnswer.Unknown && !config.isAsynchronous()) {
      modelState.addFlag(UNKNOWN_REPORTED);
    }
  }

  private RegisterReply write(ModelState modelState, ModelMessage.Write write) {
    int before = modelState.words[ModelState.REGISTER_OFFSET + write.position()];
    return replies.computeIfAbsent(
        List.of(write, before),
        key -> {
          WitnessRegister register =
              new WitnessRegister(
                  incarnation(write.position()),
                  RegisterLimits.DEFAULT,
                  invariants,
                  config.registerRules());
          if (before != 0) {
            register.restore(Fixtures.ID, ticket, records.value(before));
          }
          return register.apply(
              Fixtures.ID, ticket, incarnation(write.from()), write.operation(), Fixtures.NOW);
        });
  }

  private RegisterRecord record(ModelState modelState, int position) {
    int index = modelState.words[ModelState.REGISTER_OFFSET + position];
    return index == 0 ? null : records.value(index);
  }

  private void send(ModelState modelState, ModelMessage message) {
    modelState.addMessage(messages.indexOf(message));
  }

  private boolean isKnownAt(ModelState modelState, String endpoint) {
    if (modelState.hasFlag(ENDPOINT_LOST)) {
      return false;
    }
    for (int number = 0; number < dispatches.size(); number++) {
      boolean isExecuted = (modelState.words[ModelState.EXECUTED] & (1 << number)) != 0;
      if (isExecuted && dispatches.value(number).endpoint().equals(endpoint)) {
        return true;
      }
    }
    return false;
  }

  private boolean isTimeoutPossible(ModelState modelState, int position) {
    return config.isAsynchronous() || !isAlive(modelState, position);
  }

  boolean isAlive(ModelState modelState, int position) {
    return position >= config.chainLength() || !modelState.hasFlag(FIRST_CRASHED_FLAG << position);
  }

  int crashedMembers(ModelState modelState) {
    return Integer.bitCount(modelState.words[ModelState.FLAGS] / FIRST_CRASHED_FLAG);
  }

  private static Incarnation incarnation(int node) {
    return List.of(Fixtures.OWNER, Fixtures.FIRST, Fixtures.SECOND, Fixtures.STRANGER).get(node);
  }
}
