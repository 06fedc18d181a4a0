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
 * The steps of the whole system: the production machines and registers, joined by messages.
 *
 * <p>A violation of an invariant of the program itself is counted here and does not stop the
 * exploration, so that each mutation shows what it does to callers.
 */
final class OwnershipModel {

  static final int NOT_RUN_TOLD = 1;
  static final int UNKNOWN_TOLD = 2;
  static final int ENDPOINT_LOST = 4;
  static final int ASKED_TOO_EARLY = 8;
  static final int DEAD = 16;

  private record Dispatched(int node, String endpoint, int attempt) {}

  private record Stepped(int state, List<OwnershipDecision> decisions) {}

  private final ModelConfig config;
  private final Ticket ticket;
  private final InvariantChecker invariants = new InvariantChecker((invariant, detail) -> {});
  private final Numbering<OwnershipState> states = new Numbering<>();
  private final Numbering<RegisterRecord> records = new Numbering<>();
  private final Numbering<ModelMessage> messages = new Numbering<>();
  private final Numbering<Dispatched> dispatches = new Numbering<>();
  private final Map<List<Object>, Stepped> steps = new HashMap<>();
  private final Map<List<Object>, RegisterReply> replies = new HashMap<>();

  OwnershipModel(ModelConfig config) {
    this.config = config;
    this.ticket = Fixtures.ticket(config.chainLength(), config.firstTakesPayload());
    states.of(OwnershipState.initial());
    records.of(new RegisterRecord(Fixtures.STRANGER, RegisterRecord.Status.TAKEN, 0, "", "", ""));
  }

  InvariantChecker invariants() {
    return invariants;
  }

  OwnershipState state(ModelWorld world, int node) {
    return states.value(world.cells[node]);
  }

  /** Calls the consumer with a description and the next world of each step that is possible. */
  void forEachStep(ModelWorld world, BiConsumer<Object, ModelWorld> consumer) {
    for (int node : config.nodes()) {
      if (isAlive(world, node)) {
        ownSteps(world, node, consumer);
        endpointSteps(world, node, consumer);
      }
    }
    for (int number = 0; number < dispatches.size(); number++) {
      arrival(world, number, consumer);
    }
    for (int number = 0; number < messages.size(); number++) {
      if (world.hasMessage(number)) {
        delivery(world, messages.value(number), consumer);
      }
    }
    faults(world, consumer);
  }

  private void ownSteps(ModelWorld world, int node, BiConsumer<Object, ModelWorld> consumer) {
    OwnershipState state = state(world, node);
    if (!state.callerWaiting()) {
      step(world, node, new Submitted("body"), consumer);
    }
    boolean isWaiting = state.callerWaiting();
    OwnershipPhase phase = state.phase();
    if (phase == OwnershipPhase.OWNING && isWaiting && state.attempt() < config.maxAttempts()) {
      for (int endpoint = 0; endpoint < config.endpoints(); endpoint++) {
        step(world, node, new Granted("endpoint" + endpoint), consumer);
      }
    }
    boolean isUndispatched =
        phase == OwnershipPhase.OWNING || phase == OwnershipPhase.INTENT_PENDING;
    if (isWaiting && isUndispatched) {
      step(world, node, new CallerLeft(), consumer);
      step(world, node, new Refuse("shed"), consumer);
    }
    int target = state.target();
    if (target == Ticket.NOT_IN_CHAIN || !isSilencePossible(world, target)) {
      return;
    }
    if (state.awaited() != null) {
      step(world, node, new RegisterUnreachable(target, state.awaited(), true), consumer);
    }
    if (phase == OwnershipPhase.CONSULTING) {
      step(world, node, new RegisterUnreachable(target, null, true), consumer);
    }
    if (phase == OwnershipPhase.ASKING) {
      step(world, node, new ChainMemberUnreachable(target), consumer);
    }
  }

  private void endpointSteps(ModelWorld world, int node, BiConsumer<Object, ModelWorld> consumer) {
    OwnershipState state = state(world, node);
    int attempt = state.attempt();
    if (state.phase() == OwnershipPhase.RECOVERING) {
      boolean isKnown = isKnownAt(world, state.endpoint());
      if (isKnown) {
        step(world, node, new Ended(attempt), consumer);
      }
      // In an asynchronous run the endpoint may also have lost the work.
      if (!isKnown || config.isAsynchronous()) {
        ModelWorld next = world.copy();
        if (!config.isAsynchronous() && world.cells[ModelWorld.EXECUTED] == 0) {
          next.addFlag(ASKED_TOO_EARLY);
        }
        step(next, node, new ResumeNotFound(attempt), consumer);
      }
    }
    if (state.phase() != OwnershipPhase.DISPATCHED) {
      return;
    }
    int own = 1 << dispatches.of(new Dispatched(node, state.endpoint(), attempt));
    boolean isPending = (world.cells[ModelWorld.PENDING] & own) != 0;
    if (isPending) {
      ModelWorld next = world.copy();
      next.cells[ModelWorld.PENDING] &= ~own;
      step(next, node, new NotDispatched(attempt), consumer);
    } else if (!world.hasFlag(ENDPOINT_LOST)) {
      step(world, node, new Ended(attempt), consumer);
    }
    if (config.faults().contains(Fault.SILENCE_REPORTED_AS_NOT_DISPATCHED)) {
      step(world, node, new NotDispatched(attempt), consumer);
    }
    if (!isPending || config.isAsynchronous()) {
      step(world, node, new StreamBroken(attempt), consumer);
    }
  }

  private void arrival(ModelWorld world, int number, BiConsumer<Object, ModelWorld> consumer) {
    int bit = 1 << number;
    if ((world.cells[ModelWorld.PENDING] & bit) == 0) {
      return;
    }
    ModelWorld next = world.copy();
    next.cells[ModelWorld.PENDING] &= ~bit;
    next.cells[ModelWorld.EXECUTED] |= bit;
    consumer.accept(dispatches.value(number), next);
  }

  /**
   * Delivers a message, with its answer and without.
   *
   * <p>As messages stay, an answer that comes late is a message that is delivered again. That gives
   * the same answer, or one that means the same to a machine that no longer awaits it.
   */
  private void delivery(
      ModelWorld world, ModelMessage message, BiConsumer<Object, ModelWorld> consumer) {
    if (!isAlive(world, message.place())) {
      return;
    }
    ModelWorld next = world.copy();
    OwnershipEvent answer;
    if (message instanceof ModelMessage.Write write) {
      answer = written(next, write);
    } else if (message instanceof ModelMessage.Ask ask) {
      next = advance(world, ask.place(), new OwnershipEvent.StateQueried(placeOf(ask.from())));
      answer = new ChainMemberReplied(ask.place(), ownerReply(next, ask.place()));
    } else {
      RegisterRecord record = record(world, message.place());
      answer =
          new RegisterReplied(message.place(), null, new RegisterReply(status(record), record));
    }
    consumer.accept(message, next);
    if (isAlive(next, message.from())) {
      step(next, message.from(), answer, consumer);
    }
  }

  private OwnershipEvent written(ModelWorld world, ModelMessage.Write write) {
    RegisterReply reply = write(world, write);
    if (reply.record() != null) {
      world.cells[ModelWorld.REGISTER_OFFSET + write.place()] = records.of(reply.record());
    }
    return new RegisterReplied(write.place(), write.operation(), reply);
  }

  private ChainMemberReply ownerReply(ModelWorld world, int place) {
    ChainMemberReply reply = machine(world, place).reply();
    if (reply.status() == ChainMemberReply.Status.NOT_HOLDING && place != Ticket.OWNER) {
      return ChainMemberReply.ofRecord(record(world, place));
    }
    return reply;
  }

  private static RegisterReply.Status status(RegisterRecord record) {
    return record == null ? RegisterReply.Status.ABSENT : RegisterReply.Status.ACCEPTED;
  }

  private static int placeOf(int node) {
    return node == ModelWorld.NODES - 1 ? Ticket.NOT_IN_CHAIN : node;
  }

  private void faults(ModelWorld world, BiConsumer<Object, ModelWorld> consumer) {
    boolean isLossDistinct = !config.isAsynchronous() && !world.hasFlag(ENDPOINT_LOST);
    if (isLossDistinct && world.cells[ModelWorld.EXECUTED] != 0) {
      ModelWorld next = world.copy();
      next.addFlag(ENDPOINT_LOST);
      consumer.accept("endpoint loses the work", next);
    }
    if (config.faults().contains(Fault.RESTART_KEEPS_INCARNATION)) {
      ModelWorld next = world.copy();
      next.cells[Ticket.FIRST_SUCCESSOR] = 0;
      next.cells[ModelWorld.REGISTER_OFFSET + Ticket.FIRST_SUCCESSOR] = 0;
      consumer.accept("first successor restarts", next);
    }
    if (dead(world) >= config.crashes()) {
      return;
    }
    for (int place = 0; place < config.chainLength(); place++) {
      if (isAlive(world, place)) {
        ModelWorld next = world.copy();
        next.addFlag(DEAD << place);
        next.cells[place] = 0;
        next.cells[ModelWorld.REGISTER_OFFSET + place] = 0;
        consumer.accept("member " + place + " dies", next);
      }
    }
  }

  private void step(
      ModelWorld world, int node, OwnershipEvent event, BiConsumer<Object, ModelWorld> consumer) {
    consumer.accept(List.of(node, event), advance(world, node, event));
  }

  private ModelWorld advance(ModelWorld world, int node, OwnershipEvent event) {
    Stepped stepped =
        steps.computeIfAbsent(
            List.of(node, world.cells[node], event), key -> stepOf(world, node, event));
    ModelWorld next = world.copy();
    next.cells[node] = stepped.state();
    for (OwnershipDecision decision : stepped.decisions()) {
      apply(next, node, decision);
    }
    return next;
  }

  private Stepped stepOf(ModelWorld world, int node, OwnershipEvent event) {
    OwnershipStateMachine machine = machine(world, node);
    List<OwnershipDecision> decisions = machine.handle(event);
    return new Stepped(states.of(machine.state()), decisions);
  }

  private OwnershipStateMachine machine(ModelWorld world, int node) {
    return new OwnershipStateMachine(
        ticket, incarnation(node), state(world, node), config.rules(), invariants);
  }

  private void apply(ModelWorld world, int node, OwnershipDecision decision) {
    if (decision instanceof OwnershipDecision.WriteRegister write) {
      send(world, new ModelMessage.Write(node, write.place(), write.operation()));
    } else if (decision instanceof OwnershipDecision.ReadRegister read) {
      send(world, new ModelMessage.Read(node, read.place()));
    } else if (decision instanceof OwnershipDecision.AskMember ask) {
      send(world, new ModelMessage.Ask(node, ask.place()));
    } else if (decision instanceof OwnershipDecision.Dispatch dispatch) {
      Dispatched dispatched = new Dispatched(node, dispatch.endpoint(), dispatch.attempt());
      world.cells[ModelWorld.PENDING] |= 1 << dispatches.of(dispatched);
    } else if (decision instanceof OwnershipDecision.Tell tell) {
      told(world, tell.answer());
    }
  }

  private void told(ModelWorld world, OwnershipAnswer answer) {
    if (answer instanceof OwnershipAnswer.NotRun) {
      world.addFlag(NOT_RUN_TOLD);
    } else if (answer instanceof OwnershipAnswer.Unknown && !config.isAsynchronous()) {
      world.addFlag(UNKNOWN_TOLD);
    }
  }

  private RegisterReply write(ModelWorld world, ModelMessage.Write write) {
    int before = world.cells[ModelWorld.REGISTER_OFFSET + write.place()];
    return replies.computeIfAbsent(
        List.of(write, before),
        key -> {
          WitnessRegister register =
              new WitnessRegister(
                  incarnation(write.place()),
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

  private RegisterRecord record(ModelWorld world, int place) {
    int number = world.cells[ModelWorld.REGISTER_OFFSET + place];
    return number == 0 ? null : records.value(number);
  }

  private void send(ModelWorld world, ModelMessage message) {
    world.addMessage(messages.of(message));
  }

  private boolean isKnownAt(ModelWorld world, String endpoint) {
    if (world.hasFlag(ENDPOINT_LOST)) {
      return false;
    }
    for (int number = 0; number < dispatches.size(); number++) {
      boolean isExecuted = (world.cells[ModelWorld.EXECUTED] & (1 << number)) != 0;
      if (isExecuted && dispatches.value(number).endpoint().equals(endpoint)) {
        return true;
      }
    }
    return false;
  }

  private boolean isSilencePossible(ModelWorld world, int place) {
    return config.isAsynchronous() || !isAlive(world, place);
  }

  boolean isAlive(ModelWorld world, int place) {
    return place >= config.chainLength() || !world.hasFlag(DEAD << place);
  }

  int dead(ModelWorld world) {
    return Integer.bitCount(world.cells[ModelWorld.FLAGS] / DEAD);
  }

  private static Incarnation incarnation(int node) {
    return List.of(Fixtures.OWNER, Fixtures.FIRST, Fixtures.SECOND, Fixtures.STRANGER).get(node);
  }
}
