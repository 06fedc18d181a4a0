package io.samphiredyke.standins;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.net.BindException;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class CommandLineTest {

  private final CommandLine commandLine = new CommandLine();

  @ParameterizedTest
  @ValueSource(strings = {"engine", "service", "log", "hosts", "weights"})
  void startsEachKindAndRejectsAddressInUse(String kind) throws Exception {
    String line = commandLine.parse(kind, "--address", "127.0.0.1:0").start().join();
    assertThat(line).startsWith(kind + " listens on /127.0.0.1:");
    String port = line.substring(line.lastIndexOf(':') + 1);
    StandInStarter second = commandLine.parse(kind, "--address", "127.0.0.1:" + port);
    assertThatThrownBy(() -> second.start().join()).hasCauseInstanceOf(BindException.class);
  }

  @Test
  void reportsInvalidFlags() {
    assertRejected("--address", "log");
    assertRejected("'here' isn't ip:port", "log", "--address", "here");
    assertRejected("concurrency", "service", "--address", "127.0.0.1:0", "--concurrency", "0");
    assertRejected("NAME,IP:PORT", "hosts", "--address", "127.0.0.1:0", "--host", "e1");
  }

  private void assertRejected(String message, String... args) {
    assertThatThrownBy(() -> commandLine.parse(args))
        .isInstanceOf(ArgumentParserException.class)
        .hasMessageContaining(message);
  }
}
