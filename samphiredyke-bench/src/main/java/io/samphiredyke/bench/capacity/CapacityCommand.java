package io.samphiredyke.bench.capacity;

import com.fasterxml.jackson.core.JsonProcessingException;
import io.samphiredyke.net.codec.Json;
import java.io.IOException;
import java.util.List;
import java.util.Locale;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.helper.HelpScreenException;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;

/**
 * Command {@code capacity}: measures the cost of one more member, request, message or change, and
 * estimates the resource use of a host at the planned size.
 */
public final class CapacityCommand {

  private static final int EXIT_OK = 0;
  private static final int EXIT_FAILED = 1;
  private static final int EXIT_USAGE = 2;

  private CapacityCommand() {}

  /**
   * Report that is printed with {@code --json}.
   *
   * @param size deployment size of the estimates
   * @param slopes measured unit costs
   * @param estimates estimated resource use of a host
   */
  record Report(TargetSize size, List<UnitCost> slopes, List<Estimate> estimates) {}

  /**
   * Runs the command.
   *
   * @param args flags, see {@code --help}
   * @return the exit code
   */
  public static int run(String[] args) {
    ArgumentParser parser = parser();
    try {
      Namespace flags = parser.parseArgs(args);
      Report report = measure(TargetSize.PLANNED);
      print(report, flags.getBoolean("json"));
      return EXIT_OK;
    } catch (HelpScreenException e) {
      return EXIT_OK;
    } catch (ArgumentParserException e) {
      parser.handleError(e);
      return EXIT_USAGE;
    } catch (IOException e) {
      System.err.println("samphiredyke-bench capacity: " + e.getMessage());
      return EXIT_FAILED;
    }
  }

  private static ArgumentParser parser() {
    ArgumentParser parser =
        ArgumentParsers.newFor("samphiredyke-bench capacity")
            .build()
            .description("Measures unit costs and estimates host resources at the planned size.");
    parser.addArgument("--json").action(Arguments.storeTrue()).help("print JSON");
    return parser;
  }

  static Report measure(TargetSize size) throws IOException {
    CostMeter meter = new CostMeter();
    new GossipCosts(meter, size).measure();
    new ConfigurationCosts(meter, size).measure();
    new BrokerCosts(meter).measure();
    new RequestCosts(meter).measure();
    new MessageCosts(meter).measure();
    List<UnitCost> slopes = meter.costs();
    return new Report(size, slopes, Estimates.of(slopes, size));
  }

  private static void print(Report report, boolean asJson) throws JsonProcessingException {
    if (asJson) {
      System.out.println(Json.mapper().writerWithDefaultPrettyPrinter().writeValueAsString(report));
      return;
    }
    for (UnitCost cost : report.slopes()) {
      System.out.printf(Locale.ROOT, "%-52s %12.1f %s%n", cost.name(), cost.value(), cost.unit());
    }
    System.out.println();
    for (Estimate estimate : report.estimates()) {
      System.out.printf(
          Locale.ROOT,
          "%-9s %-38s %-34s %12.2f %s%n",
          estimate.role(),
          estimate.what(),
          estimate.formula(),
          estimate.value(),
          estimate.unit());
    }
  }
}
