package io.samphiredyke.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.samphiredyke.gateway.log.DecisionLog;
import io.samphiredyke.platform.SettingsFile;
import io.samphiredyke.platform.standin.PlatformFixtures;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Changes of the settings file while the gateway runs. */
class SettingsReloaderTest extends GatewayHarness {

  @TempDir private Path directory;

  private Path write(List<String> seeds, String store) throws Exception {
    Path file = directory.resolve("settings");
    Files.write(file, PlatformFixtures.settings("host-1", "127.0.0.1", 9_000, seeds, store));
    return file;
  }

  private SettingsReloader createReloader(Path file, RunningGateway running) throws Exception {
    DecisionLog log = new DecisionLog(logOutput, System::currentTimeMillis);
    return new SettingsReloader(file, SettingsFile.read(file), running.gateway(), log);
  }

  @Test
  void appliesSeedsAndReportsFieldsThatNeedARestart() throws Exception {
    RunningGateway running = startConfiguredGateway();
    Path file = write(List.of("127.0.0.1"), "127.0.0.1:1");
    SettingsReloader reloader = createReloader(file, running);
    write(List.of("127.0.0.2"), "127.0.0.1:2");
    running.gateway().loop().execute(() -> reloader.reload("signal"));
    await(() -> logged("\"event\":\"reload\""));
    assertThat(logged("\"cause\":\"signal\",\"applied\":\"[seeds]\"")).isTrue();
    assertThat(logged("\"needs_restart\":\"[store]\"")).isTrue();
  }

  @Test
  void reloadsAChangedFileWithoutASignal() throws Exception {
    RunningGateway running = startConfiguredGateway();
    Path file = write(List.of("127.0.0.1"), "127.0.0.1:1");
    SettingsReloader reloader = createReloader(file, running);
    running.gateway().loop().execute(reloader::start);
    await(reloader::hasCheckedFile);
    write(List.of("127.0.0.2"), "127.0.0.1:1");
    Files.setLastModifiedTime(
        file, java.nio.file.attribute.FileTime.fromMillis(System.currentTimeMillis() + 5_000));
    await(() -> logged("\"cause\":\"file changed\""));
  }

  @Test
  void keepsActiveSettingsIfTheFileIsInvalid() throws Exception {
    RunningGateway running = startConfiguredGateway();
    Path file = write(List.of("127.0.0.1"), "127.0.0.1:1");
    SettingsReloader reloader = createReloader(file, running);
    Files.write(file, List.of("InternalPorts=none"));
    running.gateway().loop().execute(() -> reloader.reload("signal"));
    await(() -> logged("\"event\":\"reload_rejected\""));
    assertThat(logged("settings:1: InternalPorts")).isTrue();
    assertThat(get(running, "/safe/x").statusCode()).isEqualTo(200);
  }
}
