import java.io.File;
import java.io.FileWriter;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;

/**
 * A small deployment on loopback addresses: the store, runners, and gateways as processes that are
 * started with the command of the deploy file. Records what happens in a file.
 */
final class Site implements AutoCloseable {

  /** Ports of a gateway, the same on all machines. */
  static final int FRONTEND = 8221;

  static final int READINESS = 8224;
  static final int CONTROL = 8229;
  static final int DIRECTORY = 8220;
  private static final int INTERNAL = 7600;
  private static final int STORE = 8225;

  final Store store = new Store();
  final List<Gateway> gateways = new ArrayList<>();
  private final List<Runner> runners = new ArrayList<>();
  private final String prefix;
  private final Path directory;
  private final PrintWriter record;
  private final long startedAt = System.nanoTime();
  private final Path repository;

  /** A gateway process on a machine of its own. */
  final class Gateway {
    final String name;
    final String ip;
    Process process;

    Gateway(int index) {
      name = "front-a-" + (index + 1);
      ip = prefix + (10 + index);
    }

    void start() throws IOException {
      Path settings = directory.resolve(name + ".conf");
      Files.write(settings, settings());
      ProcessBuilder builder = new ProcessBuilder(command());
      builder.directory(repository.toFile());
      builder.environment().put("SAMPHIREDYKE_SETTINGS", settings.toString());
      builder.redirectErrorStream(true);
      builder.redirectOutput(
          ProcessBuilder.Redirect.appendTo(directory.resolve(name + ".log").toFile()));
      process = builder.start();
      log("gateway %s started, pid %d", name, process.pid());
    }

    void signal(String signal) throws IOException, InterruptedException {
      log("gateway %s gets SIG%s", name, signal);
      new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
    }

    /** Returns whether the readiness check is answered with 200 within a second. */
    boolean isReady() {
      try (Caller caller = new Caller(ip, READINESS, 1_000)) {
        return caller.get("/samphiredyke/ready").status == 200;
      } catch (IOException e) {
        return false;
      }
    }

    private List<String> settings() {
      List<String> seeds = new ArrayList<>();
      for (int i = 0; i < Math.min(3, gateways.size()); i++) {
        seeds.add(gateways.get(i).ip + ":" + CONTROL);
      }
      return List.of(
          "NodeName=" + name,
          "Role=gateway",
          "MachineClass=front",
          "Serves=front,directory,control",
          "Ip=" + ip,
          "Zone=darj-a",
          "Region=bengal-hills",
          "Zones.darj-a=bengal-hills",
          "Listen.Frontend=" + ip + ":" + FRONTEND,
          "Listen.Readiness=" + ip + ":" + READINESS,
          "Listen.Control=" + ip + ":" + CONTROL,
          "Listen.Directory=" + ip + ":" + DIRECTORY,
          "InternalPorts=" + INTERNAL + "," + (INTERNAL + 15),
          "Seeds=" + String.join(",", seeds),
          "Bootstrap=true",
          "InFailureBudget=false",
          "Limits.CpuShare=0.75",
          "Limits.Cores=1",
          "Limits.MemoryMb=430",
          "Limits.MaxFds=4100",
          "Limits.LinkMbps=1000.0",
          "Limits.DiskMb=0",
          "Discovery=platform",
          "Entry=directory",
          "HeartbeatMs=1200",
          "Invariants=base,drain,config,cost,retry,recover,engine,stream,tenants,quota,platform",
          "FaultTolerance.Machines=1",
          "FaultTolerance.Zones=0",
          "FaultTolerance.Regions=0",
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
          "Bounds.StrictRevoke=false",
          "Bounds.RevokeMs=5000",
          "Bounds.BudgetRatio=0.2",
          "Bounds.BudgetWindowS=10",
          "Bounds.BudgetExtra=52",
          "Bounds.QuotaWindowS=8",
          "Bounds.QuotaOver=0.1",
          "Bounds.QuotaSlack=190000",
          "Bounds.RecoverS=12",
          "Bounds.PassMs=120",
          "Bounds.ReuseWindowS=10",
          "Bounds.ttl_max_s=5",
          "Platform.Address=" + prefix + "2:" + STORE,
          "Platform.form=log",
          "Platform.WritesPerS=400",
          "Platform.ReadsPerS=2000",
          "Platform.parts=8",
          "Platform.AppendMs=4.0",
          "Platform.PartMbS=20.0",
          "Platform.ReadMbS=80.0",
          "Platform.RecordBytes=262144",
          "Platform.CallBytes=2097152",
          "Platform.keep_s=300",
          "Platform.PartMb=200",
          "Platform.TtlMinMs=1000");
    }
  }

  Site(Path repository, Path caseFolder, int gatewayCount) throws IOException {
    this.repository = repository;
    this.directory = Files.createTempDirectory("samphiredyke-review");
    this.record = new PrintWriter(new FileWriter(caseFolder.resolve("record.txt").toFile()), true);
    this.prefix = freePrefix(gatewayCount);
    new HttpPeer(prefix + "2", STORE, store);
    for (int i = 0; i < gatewayCount; i++) {
      gateways.add(new Gateway(i));
    }
    Runtime.getRuntime().addShutdownHook(new Thread(this::killGateways));
  }

  /** Returns the begin of addresses on which all ports that are needed are free. */
  private static String freePrefix(int gatewayCount) throws IOException {
    long pid = ProcessHandle.current().pid();
    for (int i = 0; i < 200; i++) {
      String candidate = "127." + (30 + (pid + i) % 180) + "." + (pid / 180 % 250) + ".";
      if (isFree(candidate, gatewayCount)) {
        return candidate;
      }
    }
    throw new IOException("no free ports");
  }

  private static boolean isFree(String candidate, int gatewayCount) {
    try {
      tryBind(candidate + "2", STORE);
      for (int i = 0; i < gatewayCount; i++) {
        for (int port : new int[] {FRONTEND, READINESS, CONTROL, DIRECTORY, INTERNAL, INTERNAL + 1}) {
          tryBind(candidate + (10 + i), port);
        }
      }
      return true;
    } catch (IOException e) {
      return false;
    }
  }

  private static void tryBind(String ip, int port) throws IOException {
    try (ServerSocket socket = new ServerSocket()) {
      socket.bind(new InetSocketAddress(InetAddress.getByName(ip), port));
    }
  }

  /** Returns the words of the run line of the deploy file. */
  private List<String> command() throws IOException {
    for (String line : Files.readAllLines(repository.resolve("deploy/system.toml"))) {
      if (line.startsWith("run = \"")) {
        String run = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
        return new ArrayList<>(Arrays.asList(run.split(" ")));
      }
    }
    throw new IOException("no run line");
  }

  /** Writes a line with the time since the start to the record and to standard output. */
  synchronized void log(String format, Object... values) {
    String text = String.format(Locale.ROOT, format, values);
    String line =
        String.format(Locale.ROOT, "%9.3f %s", (System.nanoTime() - startedAt) / 1e9, text);
    record.println(line);
    System.out.println(line);
  }

  /** Adds a runner that registers itself in the store and keeps its entry there. */
  Runner addRunner(String service, int slots, Runner.Behaviour behaviour) throws IOException {
    return addRunner(service, "v1", slots, behaviour);
  }

  /** Adds a runner of a software version. */
  Runner addRunner(String service, String version, int slots, Runner.Behaviour behaviour)
      throws IOException {
    int index = runners.size();
    String id = "i-" + service + "-" + index;
    Runner runner =
        new Runner(this, id, service, version, prefix + (100 + index), slots, behaviour);
    runners.add(runner);
    return runner;
  }

  void startGateways() throws IOException {
    for (Gateway gateway : gateways) {
      gateway.start();
    }
  }

  /** Waits until all gateways are ready; returns whether they are in time. */
  boolean awaitReady(long millis) throws InterruptedException {
    long until = System.nanoTime() + millis * 1_000_000;
    while (System.nanoTime() < until) {
      if (gateways.stream().allMatch(Gateway::isReady)) {
        return true;
      }
      Thread.sleep(100);
    }
    return false;
  }

  Path directory() {
    return directory;
  }

  private void killGateways() {
    for (Gateway gateway : gateways) {
      if (gateway.process != null) {
        gateway.process.destroyForcibly();
        try {
          gateway.process.waitFor();
        } catch (InterruptedException e) {
          Thread.currentThread().interrupt();
        }
      }
    }
  }

  @Override
  public void close() {
    killGateways();
    record.close();
    if (System.getenv("KEEP_LOGS") == null) {
      File[] files = directory.toFile().listFiles();
      for (File file : files == null ? new File[0] : files) {
        file.delete();
      }
      directory.toFile().delete();
    } else {
      System.out.println("logs in " + directory);
    }
  }
}
