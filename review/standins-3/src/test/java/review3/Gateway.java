package review3;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A process of the project, started with the command of the deploy file. */
final class Gateway implements AutoCloseable {

  private static final int FIRST_PORT = 8_220;

  private final String name;
  private final String ip;
  private final Path settings;
  private final Path log;
  private Process process;

  Gateway(Path directory, String name, String ip, List<String> seedIps, String store, List<String> more)
      throws IOException {
    this.name = name;
    this.ip = ip;
    settings = directory.resolve(name + ".conf");
    log = directory.resolve(name + ".log");
    List<String> lines =
        new ArrayList<>(
            List.of(
                "NodeName=" + name,
                "Role=gateway",
                "MachineClass=front",
                "Serves=front,control,directory",
                "Ip=" + ip,
                "Zone=zone-a",
                "Region=region",
                "Zones.zone-a=region",
                "Listen.Frontend=" + ip + ":" + (FIRST_PORT + 1),
                "Listen.Readiness=" + ip + ":" + (FIRST_PORT + 4),
                "Listen.Control=" + ip + ":" + (FIRST_PORT + 9),
                "Listen.Directory=" + ip + ":" + FIRST_PORT,
                "InternalPorts=7600,7615",
                "Seeds=" + String.join(",", seedIps.stream().map(seed -> seed + ":" + (FIRST_PORT + 9)).toList()),
                "Bootstrap=true",
                "Limits.CpuShare=0.75",
                "Limits.Cores=1",
                "Limits.MemoryMb=430",
                "Limits.MaxFds=4100",
                "Limits.LinkMbps=1000.0",
                "Limits.DiskMb=0",
                "Discovery=platform",
                "Entry=directory",
                "HeartbeatMs=1200",
                "Bounds.StableWindowMs=3000",
                "Bounds.AckMs=4000",
                "Bounds.DrainMs=2000",
                "Bounds.GraceS=8",
                "Bounds.LossSlackMs=200",
                "Bounds.ConfigApplyMs=2000",
                "Bounds.BudgetRatio=0.2",
                "Bounds.BudgetWindowS=10",
                "Bounds.BudgetExtra=52",
                "Bounds.QuotaWindowS=8",
                "Bounds.QuotaOver=0.1",
                "Bounds.QuotaSlack=190000",
                "Bounds.ttl_max_s=5",
                "Platform.Address=" + store,
                "Platform.form=log"));
    lines.addAll(more);
    Files.write(settings, lines);
  }

  /** Starts the process and waits until it is ready. */
  Gateway start() throws IOException, InterruptedException {
    List<String> command = command();
    ProcessBuilder builder = new ProcessBuilder(command);
    builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
    builder.environment().put("SAMPHIREDYKE_SETTINGS", settings.toString());
    builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
    process = builder.start();
    for (int i = 0; i < 200; i++) {
      if (isReady()) {
        return this;
      }
      if (!process.isAlive()) {
        throw new IOException(name + " ended while it started: " + process.exitValue());
      }
      Thread.sleep(100);
    }
    throw new IOException(name + " isn't ready");
  }

  private static List<String> command() throws IOException {
    for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
      if (line.startsWith("run = \"")) {
        return List.of(line.substring("run = \"".length(), line.lastIndexOf('"')).split(" +"));
      }
    }
    throw new IOException("deploy/system.toml has no run command");
  }

  boolean isReady() {
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress(InetAddress.getByName(ip), FIRST_PORT + 4), 1_000);
      socket.setSoTimeout(1_000);
      socket.getOutputStream().write("GET /samphiredyke/ready HTTP/1.1\r\nHost: h\r\n\r\n".getBytes());
      Http.Message answer = Http.readResponse(socket.getInputStream(), false);
      return answer != null && answer.status() == 200;
    } catch (IOException e) {
      return false;
    }
  }

  InetSocketAddress frontend() throws IOException {
    return new InetSocketAddress(InetAddress.getByName(ip), FIRST_PORT + 1);
  }

  Process process() {
    return process;
  }

  Path log() {
    return log;
  }

  /** Sends a signal to the process. */
  void signal(String signal) throws IOException, InterruptedException {
    new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
  }

  @Override
  public void close() {
    if (process != null) {
      process.destroyForcibly();
      try {
        process.waitFor(5, TimeUnit.SECONDS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }
}
