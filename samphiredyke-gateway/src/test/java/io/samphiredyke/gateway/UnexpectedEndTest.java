package io.samphiredyke.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.samphiredyke.gateway.log.DecisionLog;
import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A process whose event loop dies must not end as if that had been ordered. */
@Timeout(30)
class UnexpectedEndTest {

  /** A process that loses its event loop. */
  static final class LosingProcess {

    private LosingProcess() {}

    public static void main(String[] arguments) {
      DecisionLog log =
          new DecisionLog(new FileOutputStream(FileDescriptor.out), System::currentTimeMillis);
      UnexpectedEnd.register(log);
      EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
      group.next().execute(() -> group.shutdownGracefully(0, 0, TimeUnit.SECONDS));
    }
  }

  @Test
  void lossOfTheEventLoopIsReported() throws IOException, InterruptedException {
    Process process =
        new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx32m",
                "-cp",
                System.getProperty("java.class.path"),
                LosingProcess.class.getName())
            .start();
    String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    assertThat(process.waitFor()).isEqualTo(UnexpectedEnd.EXIT_CODE);
    assertThat(output).contains("\"event\":\"ended_unexpectedly\"");
  }
}
