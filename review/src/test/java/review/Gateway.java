package review;

import java.io.IOException;
import java.io.InputStream;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A gateway as a process of its own, started with the command of the deploy file. */
final class Gateway implements AutoCloseable {

  final Process process;
  private final Path settings;
  final String ip;
  final int firstPort;
  final Path log;

  private Gateway(Process process, Path settings, String ip, int firstPort, Path log) {
    this.process = process;
    this.settings = settings;
    this.ip = ip;
    this.firstPort = firstPort;
    this.log = log;
  }

  InetSocketAddress frontend() {
    return new InetSocketAddress(ip, firstPort);
  }

  /** Starts a gateway on free ports of an address and waits until it is ready. */
  static Gateway start(Path folder, String name, String ip, String storeAddress)
      throws IOException {
    int first = freePorts(ip);
    Path settings = folder.resolve(name + ".conf");
    Files.write(
        settings,
        List.of(
            "NodeName=" + name,
            "Role=gateway",
            "MachineClass=front",
            "Serves=front,directory,control",
            "Ip=" + ip,
            "Zone=oslo-a",
            "Region=oslo",
            "Zones.oslo-a=oslo",
            "Listen.Frontend=" + ip + ":" + first,
            "Listen.Readiness=" + ip + ":" + (first + 1),
            "Listen.Control=" + ip + ":" + (first + 3),
            "Listen.Directory=" + ip + ":" + (first + 2),
            "InternalPorts=" + (first + 4) + "," + (first + 11),
            "Seeds=" + ip + ":" + (first + 3),
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
            "Bounds.SeedLagS=3",
            "Bounds.ReuseAfterS=2",
            "Bounds.StableWindowMs=3000",
            "Bounds.AckMs=4000",
            "Bounds.CatchUpS=4",
            "Bounds.DrainMs=2000",
            "Bounds.GraceS=8",
            "Bounds.LossSlackMs=200",
            "Bounds.ConfigApplyMs=2000",
            "Bounds.RollbackSlackMs=250",
            "Bounds.MaxSkewMs=5000",
            "Bounds.BudgetRatio=0.2",
            "Bounds.BudgetWindowS=10",
            "Bounds.BudgetExtra=52",
            "Bounds.QuotaWindowS=8",
            "Bounds.QuotaOver=0.1",
            "Bounds.QuotaSlack=190000",
            "Bounds.RecoverS=12",
            "Bounds.PassMs=120",
            "Bounds.ttl_max_s=5",
            "Platform.Address=" + storeAddress,
            "Platform.form=log"));
    return start(settings, ip, first, folder.resolve(name + ".log"));
  }

  /** Starts the process again with the same settings, after it has ended. */
  Gateway startAgain() throws IOException {
    return start(settings, ip, firstPort, log);
  }

  private static Gateway start(Path settings, String ip, int first, Path log) throws IOException {
    ProcessBuilder builder = new ProcessBuilder(runCommand());
    builder.environment().put("SAMPHIREDYKE_SETTINGS", settings.toString());
    builder
        .redirectErrorStream(true)
        .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
    Gateway gateway = new Gateway(builder.start(), settings, ip, first, log);
    Runtime.getRuntime().addShutdownHook(new Thread(gateway.process::destroyForcibly));
    long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(15);
    while (!gateway.isReady(500)) {
      if (System.nanoTime() > until || !gateway.process.isAlive()) {
        throw new IOException("the gateway did not become ready: " + Files.readString(log));
      }
      Case.sleep(50);
    }
    return gateway;
  }

  /** Returns the words of the line {@code run} of the deploy file. */
  private static List<String> runCommand() throws IOException {
    Matcher run =
        Pattern.compile("(?m)^run = \"(.*)\"$")
            .matcher(Files.readString(Path.of("deploy/system.toml")));
    if (!run.find()) {
      throw new IOException("no run line in deploy/system.toml");
    }
    return new ArrayList<>(List.of(run.group(1).split(" ")));
  }

  private static int freePorts(String ip) throws IOException {
    InetAddress address = InetAddress.getByName(ip);
    for (int attempt = 0; attempt < 50; attempt++) {
      int first = 20_000 + (int) (Math.random() * 10_000);
      boolean free = true;
      for (int port = first; port < first + 12 && free; port++) {
        try (ServerSocket tcp = new ServerSocket(port, 1, address);
            DatagramSocket udp = new DatagramSocket(port, address)) {
          free = true;
        } catch (IOException e) {
          free = false;
        }
      }
      if (free) {
        return first;
      }
    }
    throw new IOException("no free ports");
  }

  /** Asks the readiness address, as the platform does. */
  boolean isReady(int timeoutMillis) {
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress(ip, firstPort + 1), timeoutMillis);
      socket.setSoTimeout(timeoutMillis);
      Net.write(
          socket.getOutputStream(), "GET /samphiredyke/ready HTTP/1.1\r\nHost: " + ip + "\r\n\r\n");
      InputStream in = socket.getInputStream();
      Net.Response response = Net.readResponse(in);
      return response.complete && response.head.status() == 200;
    } catch (IOException e) {
      return false;
    }
  }

  @Override
  public void close() {
    process.destroyForcibly();
    try {
      process.waitFor(5, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
