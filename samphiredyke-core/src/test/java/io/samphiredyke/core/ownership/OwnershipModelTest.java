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
 * Explores the production machines and registers, and sees each mechanism needed.
 *
 * <p>{@link #main} explores larger configurations.
 */
class OwnershipModelTest {

  private static final String TWICE = "dispatched twice";
  private static final String FALSE_NOT_RUN = "told as not run, and dispatched";
  private static final String NEEDLESS_UNKNOWN = "told as unknown without need";

  private static final ModelConfig SMALL = ModelConfig.asynchronous(List.of(0, 1), 1, 1);
  private static final ModelConfig TWO_ATTEMPTS = ModelConfig.asynchronous(List.of(0, 1), 2, 2);

  @Test
  void noDoubleDispatchWhateverIsLateLostOrRepeated() {
    assertHolds("late, lost and repeated messages", SMALL);
  }

  @Test
  void noDoubleDispatchWithWitnessThatTakesNoPayload() {
    assertHolds("witness without payload", SMALL.withChain(3, false));
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 2})
  void noDoubleDispatchWithShortChains(int length) {
    List<Integer> nodes = length == 1 ? List.of(0, 3) : List.of(0, 1, 3);
    assertHolds("chain of " + length, withNodes(nodes).withChain(length, true));
  }

  @Test
  void unknownIsToldOnlyInTheDocumentedCases() {
    assertHolds("one death", SMALL.withCrashes(1));
    assertHolds(
        "one death, asked at the second successor", withNodes(List.of(0, 1, 2)).withCrashes(1));
    assertHolds("two deaths", SMALL.withCrashes(2));
  }

  @Test
  void registerThatForgetsItsHolderIsFound() {
    RegisterRules lastWriterHolds =
        (before, writer, operation) -> {
          boolean isOther = before != null && !before.holder().equals(writer);
          return RegisterRules.WRITE_ONCE.apply(isOther ? null : before, writer, operation);
        };
    assertBroken(SMALL.withRegisterRules(lastWriterHolds), FALSE_NOT_RUN);
  }

  @Test
  void successorThatNeedsOnlyItsOwnRegisterTellsNotRunFalsely() {
    assertBroken(
        SMALL.withRules(
            new OwnershipRules() {
              @Override
              boolean isExclusive(OwnershipState state, int chainLength, int place) {
                return super.isExclusive(state, chainLength, place)
                    || (place == Ticket.FIRST_SUCCESSOR
                        && state.firstRegister() == RegisterHolder.SELF);
              }
            }),
        FALSE_NOT_RUN);
  }

  @Test
  void ownerThatClosesWithoutRegisterTellsNotRunFalsely() {
    assertBroken(
        SMALL.withRules(
            new OwnershipRules() {
              @Override
              boolean isExclusive(OwnershipState state, int chainLength, int place) {
                return place == Ticket.OWNER || super.isExclusive(state, chainLength, place);
              }
            }),
        FALSE_NOT_RUN);
  }

  @Test
  void dispatchBeforeTheAcknowledgementDispatchesTwice() {
    assertBroken(
        SMALL.withRules(
            new OwnershipRules() {
              @Override
              boolean isAcknowledgementNeeded() {
                return false;
              }
            }),
        TWICE);
  }

  @Test
  void missingAtTheEndpointTakenAsNotRunIsFalse() {
    assertBroken(
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
  void acknowledgementOfAnEarlierAttemptLosesTheEndpoint() {
    assertBroken(
        TWO_ATTEMPTS
            .withCrashes(1)
            .withRules(
                new OwnershipRules() {
                  @Override
                  boolean isAwaited(OwnershipState state, int place, RegisterOperation operation) {
                    return state.awaitedWrite() != null && state.target() == place;
                  }
                }),
        NEEDLESS_UNKNOWN);
  }

  @Test
  void silenceReportedAsNotDispatchedIsFound() {
    assertBroken(TWO_ATTEMPTS.withFault(Fault.SILENCE_REPORTED_AS_NOT_DISPATCHED), FALSE_NOT_RUN);
  }

  @Test
  void restartedProcessThatKeepsItsIncarnationIsFound() {
    assertBroken(SMALL.withFault(Fault.RESTART_KEEPS_INCARNATION), FALSE_NOT_RUN);
  }

  private static void assertHolds(String name, ModelConfig config) {
    Result result = OwnershipModelChecker.run(config);
    System.out.println("ownership model, " + name + ": " + result);
    assertThat(result.violation()).as("%s", result.trace()).isEmpty();
    assertThat(result.invariantViolations()).isEmpty();
  }

  private static void assertBroken(ModelConfig config, String violation) {
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
   * @param args nodes (such as 0,1,3), attempts, endpoints, and deaths for exact silence
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
