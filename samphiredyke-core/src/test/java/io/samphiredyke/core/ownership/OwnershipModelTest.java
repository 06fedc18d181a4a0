package io.samphiredyke.core.ownership;

import static org.assertj.core.api.Assertions.assertThat;

import io.samphiredyke.core.ownership.ModelConfig.Fault;
import io.samphiredyke.core.ownership.OwnershipModelChecker.Result;
import io.samphiredyke.core.ownership.OwnershipState.RegisterHolder;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Model checks the production state machines and registers, and verifies by mutation that each
 * safety mechanism is needed: with the mechanism disabled, the model checker finds a violation.
 *
 * <p>{@link #main} explores larger configurations.
 */
class OwnershipModelTest {

  private static final String DISPATCHED_TWICE = "dispatched more than once";
  private static final String FALSE_NOT_RUN = "reported as not run, but dispatched";
  private static final String NEEDLESS_UNKNOWN = "reported as unknown without need";

  private static final ModelConfig SMALL = ModelConfig.asynchronous(List.of(0, 1), 1, 1);
  private static final ModelConfig TWO_ATTEMPTS = ModelConfig.asynchronous(List.of(0, 1), 2, 2);

  @Test
  void noDoubleDispatchWithLateLostAndRepeatedMessages() {
    assertHolds("late, lost and repeated messages", SMALL);
  }

  @Test
  void noDoubleDispatchIfWitnessMayNotReceivePayload() {
    assertHolds("witness without payload", SMALL.withChain(3, false));
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 2})
  void noDoubleDispatchWithShortChains(int length) {
    List<Integer> nodes = length == 1 ? List.of(0, 3) : List.of(0, 1, 3);
    assertHolds("chain of " + length, withNodes(nodes).withChain(length, true));
  }

  @Test
  void unknownIsReportedOnlyInDocumentedCases() {
    assertHolds("one crash", SMALL.withCrashes(1));
    assertHolds(
        "one crash, request sent to the second successor",
        withNodes(List.of(0, 1, 2)).withCrashes(1));
    assertHolds("two crashes", SMALL.withCrashes(2));
  }

  @Test
  void registerThatChangesItsHolderIsDetected() {
    RegisterRules lastWriterHolds =
        (before, writer, operation) -> {
          boolean isOther = before != null && !before.holder().equals(writer);
          return RegisterRules.WRITE_ONCE.apply(isOther ? null : before, writer, operation);
        };
    assertViolated(SMALL.withRegisterRules(lastWriterHolds), FALSE_NOT_RUN);
  }

  @Test
  void successorThatNeedsOnlyItsOwnRegisterFalselyReportsNotRun() {
    assertViolated(
        SMALL.withRules(
            new OwnershipRules() {
              @Override
              boolean isExclusive(OwnershipState state, int chainLength, int position) {
                return super.isExclusive(state, chainLength, position)
                    || (position == Ticket.FIRST_SUCCESSOR
                        && state.firstRegister() == RegisterHolder.SELF);
              }
            }),
        FALSE_NOT_RUN);
  }

  @Test
  void ownerThatClosesWithoutRegisterFalselyReportsNotRun() {
    assertViolated(
        SMALL.withRules(
            new OwnershipRules() {
              @Override
              boolean isExclusive(OwnershipState state, int chainLength, int position) {
                return position == Ticket.OWNER || super.isExclusive(state, chainLength, position);
              }
            }),
        FALSE_NOT_RUN);
  }

  @Test
  void dispatchBeforeAcknowledgementDispatchesTwice() {
    assertViolated(
        SMALL.withRules(
            new OwnershipRules() {
              @Override
              boolean isAcknowledgementNeeded() {
                return false;
              }
            }),
        DISPATCHED_TWICE);
  }

  @Test
  void requestUnknownToEndpointIsNoProofOfNotRun() {
    assertViolated(
        SMALL.withRules(
            new OwnershipRules() {
              @Override
              boolean isNotFoundTakenAsNotRun() {
                return true;
              }
            }),
        FALSE_NOT_RUN);
  }

  @Test
  void acceptingAcknowledgementOfEarlierAttemptLosesTheEndpoint() {
    assertViolated(
        TWO_ATTEMPTS
            .withCrashes(1)
            .withRules(
                new OwnershipRules() {
                  @Override
                  boolean isAwaited(
                      OwnershipState state, int position, RegisterOperation operation) {
                    return state.awaitedWrite() != null && state.target() == position;
                  }
                }),
        NEEDLESS_UNKNOWN);
  }

  @Test
  void timeoutReportedAsNotDispatchedIsDetected() {
    assertViolated(TWO_ATTEMPTS.withFault(Fault.TIMEOUT_REPORTED_AS_NOT_DISPATCHED), FALSE_NOT_RUN);
  }

  @Test
  void restartedProcessThatKeepsItsIncarnationIsDetected() {
    assertViolated(SMALL.withFault(Fault.RESTART_KEEPS_INCARNATION), FALSE_NOT_RUN);
  }

  private static void assertHolds(String name, ModelConfig config) {
    Result result = OwnershipModelChecker.run(config);
    System.out.println("ownership model, " + name + ": " + result);
    assertThat(result.violation()).as("%s", result.trace()).isEmpty();
    assertThat(result.invariantViolations()).isEmpty();
  }

  private static void assertViolated(ModelConfig config, String violation) {
    Result result = OwnershipModelChecker.run(config);
    System.out.println("ownership model, mutated: " + result + " " + result.invariantViolations());
    assertThat(result.violation()).contains(violation);
  }

  private static ModelConfig withNodes(List<Integer> nodes) {
    return ModelConfig.asynchronous(nodes, 1, 1);
  }

  /**
   * Explores one configuration.
   *
   * @param args nodes (such as 0,1,3), attempts, endpoints and optionally the number of crashes, in
   *     which case timeouts are reported only for crashed members
   */
  public static void main(String[] args) {
    List<Integer> nodes = Stream.of(args[0].split(",", -1)).map(Integer::valueOf).toList();
    int attempts = Integer.parseInt(args[1]);
    int endpoints = Integer.parseInt(args[2]);
    ModelConfig config = ModelConfig.asynchronous(nodes, attempts, endpoints);
    if (args.length > 3) {
      config = config.withCrashes(Integer.parseInt(args[3]));
    }
    Result result = OwnershipModelChecker.run(config);
    System.out.println(result + " " + result.invariantViolations());
    result.trace().forEach(System.out::println);
  }
}
