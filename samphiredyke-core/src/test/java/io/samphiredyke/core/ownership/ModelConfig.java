package io.samphiredyke.core.ownership;

import java.util.List;

/**
 * Configuration of an exploration by the {@link OwnershipModelChecker}.
 *
 * @param nodes positions of the processes that callers may call; 3 is a process outside the chain
 * @param chainLength number of members of the chain
 * @param firstMayReceivePayload whether the first successor may hold payloads
 * @param endpoints number of endpoints
 * @param maxAttempts maximum number of intents of one process
 * @param crashes maximum number of members that crash; timeouts are reported only for crashed
 *     members. With a negative number any reply may be late or lost and a timeout may be reported
 *     at any time, which includes pauses, network partitions and crashes
 * @param maxStates number of states above which the exploration fails
 * @param rules rules of the ownership state machine
 * @param registerRules rules of the registers
 * @param faults ways in which the environment violates the assumptions of the protocol
 */
record ModelConfig(
    List<Integer> nodes,
    int chainLength,
    boolean firstMayReceivePayload,
    int endpoints,
    int maxAttempts,
    int crashes,
    int maxStates,
    OwnershipRules rules,
    RegisterRules registerRules,
    List<Fault> faults) {

  /** Violated assumption of the protocol. */
  enum Fault {
    /** A connection that was lost after the request was sent is reported as not dispatched. */
    TIMEOUT_REPORTED_AS_NOT_DISPATCHED,
    /** A restarted first successor keeps the incarnation of its previous run. */
    RESTART_KEEPS_INCARNATION
  }

  static ModelConfig asynchronous(List<Integer> nodes, int maxAttempts, int endpoints) {
    return new ModelConfig(
        nodes,
        Ticket.MAX_CHAIN_MEMBERS,
        true,
        endpoints,
        maxAttempts,
        -1,
        20_000_000,
        OwnershipRules.STANDARD,
        RegisterRules.WRITE_ONCE,
        List.of());
  }

  boolean isAsynchronous() {
    return crashes < 0;
  }

  ModelConfig withCrashes(int value) {
    return new ModelConfig(
        nodes,
        chainLength,
        firstMayReceivePayload,
        endpoints,
        maxAttempts,
        value,
        maxStates,
        rules,
        registerRules,
        faults);
  }

  ModelConfig withChain(int length, boolean mayReceivePayload) {
    return new ModelConfig(
        nodes,
        length,
        mayReceivePayload,
        endpoints,
        maxAttempts,
        crashes,
        maxStates,
        rules,
        registerRules,
        faults);
  }

  ModelConfig withRules(OwnershipRules value) {
    return new ModelConfig(
        nodes,
        chainLength,
        firstMayReceivePayload,
        endpoints,
        maxAttempts,
        crashes,
        maxStates,
        value,
        registerRules,
        faults);
  }

  ModelConfig withRegisterRules(RegisterRules value) {
    return new ModelConfig(
        nodes,
        chainLength,
        firstMayReceivePayload,
        endpoints,
        maxAttempts,
        crashes,
        maxStates,
        rules,
        value,
        faults);
  }

  ModelConfig withFault(Fault value) {
    return new ModelConfig(
        nodes,
        chainLength,
        firstMayReceivePayload,
        endpoints,
        maxAttempts,
        crashes,
        maxStates,
        rules,
        registerRules,
        List.of(value));
  }
}
