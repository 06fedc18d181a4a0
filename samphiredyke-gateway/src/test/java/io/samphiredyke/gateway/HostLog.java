package io.samphiredyke.gateway;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.extension.AfterEachCallback;
import org.junit.jupiter.api.extension.ExtensionContext;

/** Log of all hosts of a test; that of a failed test is kept in the build directory. */
final class HostLog implements AfterEachCallback {

  private static final Path KEPT = Path.of("target", "failed-tests");

  final ByteArrayOutputStream output = new ByteArrayOutputStream();

  /** Returns where a host writes its log; each line gets the name of the host. */
  OutputStream of(String host) {
    byte[] name = ("{\"logged_by\":\"" + host + "\",").getBytes(StandardCharsets.UTF_8);
    return new OutputStream() {
      @Override
      public void write(int value) {
        throw new UnsupportedOperationException();
      }

      @Override
      public void write(byte[] lines, int offset, int length) {
        synchronized (output) {
          for (int i = offset; i < offset + length; i++) {
            if (lines[i] == '{' && (i == offset || lines[i - 1] == '\n')) {
              output.writeBytes(name);
            } else {
              output.write(lines[i]);
            }
          }
        }
      }
    };
  }

  @Override
  public void afterEach(ExtensionContext test) throws IOException {
    if (test.getExecutionException().isEmpty()) {
      return;
    }
    Files.createDirectories(KEPT);
    String name = test.getRequiredTestClass().getSimpleName() + "." + test.getDisplayName();
    Path file = KEPT.resolve(name.replaceAll("[^\\w.-]+", "_") + "-" + System.currentTimeMillis());
    Files.write(file, output.toByteArray());
    System.out.println("Log of the hosts: " + file.toAbsolutePath());
  }
}
