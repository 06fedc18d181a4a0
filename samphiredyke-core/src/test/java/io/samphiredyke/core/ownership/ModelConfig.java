package io.samphiredyke.core.ownership;

import java.util.List;

/**
 * What an exploration covers.
 *
 * @param nodes processes that callers may ask, by place; 3 is a process outside the chain
 * @param chainLength members of the chain
 * @param firstTakesPayload whether the first successor may hold payloads
 * @param endpoints number of endpoints
 * @param maxAttempts greatest number of intents of one process
 * @param crashes greatest number of members that die; silence is only reported of dead ones. A
 *     negative number lets any answer be late or lost and any silence be reported at any time,
 *     which includes pauses, cuts and deaths
 * @param maxStates the exploration fails beyond this number
 * @param rules conditions of the ownership machine
 * @param registerRules rules of the registers
 * @param faults ways in which the surroundings break the assumptions of the protocol
 */
record ModelConfig(
    List<Integer> nodes,
    int chainLength,
    boolean firstTakesPayload,
    int endpoints,
    int maxAttempts,
    int crashes,
    int maxStates,
    OwnershipRules rules,
    RegisterRules registerRules,
    List<Fault> faults) {

  /** A broken assumption. */
  enum Fault {
    /** A connection that was lost after the request was sent is reported as not dispatched. */
    SILENCE_REPORTED_AS_NOT_DISPATCHED,
    /** A restarted first successor answers for the incarnation before it. */
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
        firstTakesPayload,
        endpoints,
        maxAttempts,
        value,
        maxStates,
        rules,
        registerRules,
        faults);
  }

  ModelConfig withChain(int length, boolean payload) {
    return new ModelConfig(
        nodes,
        length,
        payload,
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
        firstTakesPayload,
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
        firstTakesPayload,
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
        firstTakesPayload,
        endpoints,
        maxAttempts,
        crashes,
        maxStates,
        rules,
        registerRules,
        List.of(value));
  }
}
