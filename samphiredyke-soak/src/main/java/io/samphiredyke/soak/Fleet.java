package io.samphiredyke.soak;

import io.netty.channel.EventLoopGroup;
import io.samphiredyke.net.control.SocketAddresses;
import io.samphiredyke.platform.SettingsFile;
import io.samphiredyke.platform.standin.EndpointProcess;
import io.samphiredyke.platform.standin.FaultyEndpoint;
import io.samphiredyke.platform.standin.Link;
import io.samphiredyke.platform.standin.PlatformFixtures;
import io.samphiredyke.platform.standin.StoreProcess;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;

/**
 * The processes of a run and the links between them. Each run uses its own loopback addresses, so
 * that runs can execute in parallel.
 */
final class Fleet implements AutoCloseable {

  /** First of the five consecutive ports that a host listens on. */
  private static final int HOST_PORT = 8_220;

  private static final int STORE_PORT = 8_225;
  private static final int ENDPOINT_PORT = 9_000;
  private static final int CALLER_LINK_PORT = 8_300;

  /** Last octets of addresses: hosts start at 10, endpoints at 100. */
  private static final int FIRST_HOST_OCTET = 10;

  private static final int FIRST_ENDPOINT_OCTET = 100;

  /**
   * Number of second octets; second and third octets are derived from the id of this process and
   * the number of the run.
   */
  private static final int SECOND_OCTETS = 200;

  /** Software versions that the instances of endpoints have by turns. */
  private static final int SOFTWARE_VERSIONS = 2;

  /** Time from the crash of an endpoint to the start of another one at its address. */
  private static final long CRASH_DOWN_MILLIS = 2_000;

  /** JVM options of the gateway, as in deploy/system.toml. */
  private static final List<String> JAVA =
      List.of(
          "java", "-Xms16m", "-Xmx64m", "-Xss256k", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1");

  private final SoakOptions options;
  private final Path directory;
  private final Observations observations;
  private final String addressPrefix;
  private final List<Host> hosts = new ArrayList<>();
  private final List<Endpoint> endpoints = new ArrayList<>();
  private final AtomicInteger instanceCount = new AtomicInteger();
  private final List<String> unexpectedExits = new ArrayList<>();
  private final EventLoopGroup group;
  private final Builds builds;
  private final ChildProcess store;

  /** A host, its current process and the links to and from it. */
  final class Host {
    private final String name;
    private final String ip;
    private final Link callerLink;
    private final Link storeLink;
    private Path jar = options.gatewayBefore();
    private ChildProcess process;

    private Host(int index) {
      name = "host-" + index;
      ip = addressPrefix + (FIRST_HOST_OCTET + index);
      callerLink =
          new Link(
              group,
              SocketAddresses.parse(ip + ":" + CALLER_LINK_PORT),
              SocketAddresses.parse(ip + ":" + HOST_PORT));
      storeLink =
          new Link(
              group,
              SocketAddresses.parse(ip + ":" + STORE_PORT),
              SocketAddresses.parse(storeAddress()));
      process = startHost(this);
    }

    String name() {
      return name;
    }

    /** Returns the address that the host advertises to callers. */
    String address() {
      return ip + ":" + HOST_PORT;
    }

    /** Returns the address at which callers reach the host through its link. */
    String proxiedAddress() {
      return ip + ":" + CALLER_LINK_PORT;
    }

    String readinessAddress() {
      return ip + ":" + (HOST_PORT + 1);
    }

    String directoryAddress() {
      return ip + ":" + (HOST_PORT + 2);
    }

    Link callerLink() {
      return callerLink;
    }

    Link storeLink() {
      return storeLink;
    }

    synchronized ChildProcess process() {
      return process;
    }

    /** Restarts the host; kills its current process if that is still running. */
    synchronized void restart() {
      recordUnexpectedExit(process);
      process.kill();
      process = startHost(this);
    }

    /** Replaces the host by one of a build. */
    synchronized void restart(Path newJar) {
      jar = newJar;
      restart();
    }
  }

  /** An endpoint address behind a link, used by one instance after another. */
  final class Endpoint {
    private final boolean isStream;
    private final String address;
    private final String registeredAddress;
    private final Link link;
    private volatile ChildProcess process;

    private Endpoint(int index, boolean isStream) {
      this.isStream = isStream;
      String ip = addressPrefix + (FIRST_ENDPOINT_OCTET + index);
      address = ip + ":" + ENDPOINT_PORT;
      registeredAddress = options.hasEndpointFaults() ? address : ip + ":" + (ENDPOINT_PORT + 1);
      link =
          new Link(
              group,
              SocketAddresses.parse(ip + ":" + (ENDPOINT_PORT + 1)),
              SocketAddresses.parse(address));
      process = startEndpoint(this);
    }

    Link link() {
      return link;
    }

    String service() {
      return isStream ? "model" : "plain";
    }

    ChildProcess process() {
      return process;
    }

    /** Kills the current instance and starts another one at the same address. */
    synchronized void replace() {
      process.kill();
      process = startEndpoint(this);
    }
  }

  Fleet(SoakOptions options, Path directory, Observations observations, EventLoopGroup group) {
    this.options = options;
    this.directory = directory;
    this.observations = observations;
    this.group = group;
    this.builds = new Builds(options);
    long run = ProcessHandle.current().pid() * 31 + options.network();
    this.addressPrefix =
        "127." + (20 + run % SECOND_OCTETS) + "." + (run / SECOND_OCTETS % 250) + ".";
    this.store = start("store", StoreProcess.class, List.of(storeAddress()), "store", line -> {});
  }

  /** Starts the endpoints and hosts. */
  void start() {
    for (int i = 0; i < options.endpoints(); i++) {
      endpoints.add(new Endpoint(i, i % 2 == 0));
    }
    for (int i = 0; i < options.hosts(); i++) {
      hosts.add(new Host(i));
    }
  }

  private ChildProcess startHost(Host host) {
    Path settings = directory.resolve(host.name + ".conf");
    List<String> seeds =
        List.of(
            addressPrefix + FIRST_HOST_OCTET,
            addressPrefix + (FIRST_HOST_OCTET + 1),
            addressPrefix + (FIRST_HOST_OCTET + 2));
    List<String> lines =
        PlatformFixtures.settings(host.name, host.ip, HOST_PORT, seeds, host.ip + ":" + STORE_PORT);
    try {
      Files.write(settings, lines);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    List<String> command = new ArrayList<>(JAVA);
    builds.started(host.name, host.jar, System.currentTimeMillis());
    command.addAll(List.of("-cp", host.jar.toString(), SoakOptions.GATEWAY_CLASS));
    return ChildProcess.start(
        host.name,
        command,
        Map.of(SettingsFile.PATH_VARIABLE, settings.toString()),
        directory.resolve(host.name + ".log"),
        line -> {});
  }

  private ChildProcess startEndpoint(Endpoint endpoint) {
    String service = endpoint.service();
    int number = instanceCount.incrementAndGet();
    String id = service.charAt(0) + "-" + number;
    List<String> arguments = new ArrayList<>();
    Collections.addAll(
        arguments,
        id,
        service,
        endpoint.isStream ? "stream" : "plain",
        endpoint.address,
        endpoint.registeredAddress,
        storeAddress(),
        "v" + (options.hasEndpointFaults() ? number / 2 : number) % SOFTWARE_VERSIONS);
    Class<?> main = EndpointProcess.class;
    if (options.hasEndpointFaults()) {
      main = FaultyEndpoint.class;
      arguments.add(Long.toString(options.seed()));
      arguments.add(options.endpointFaults());
    }
    return start(id, main, arguments, id, line -> readOutput(endpoint, id, service, line));
  }

  private void readOutput(Endpoint endpoint, String id, String service, String line) {
    if (observations.recordEndpointAction(id, line)) {
      endpoint.process().killWithoutWait();
    }
    if (observations.readEndpointOutput(service, line)) {
      group.schedule(endpoint::replace, CRASH_DOWN_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  private ChildProcess start(
      String name, Class<?> main, List<String> arguments, String log, Consumer<String> lines) {
    List<String> command = new ArrayList<>(JAVA);
    command.addAll(List.of("-cp", System.getProperty("java.class.path"), main.getName()));
    command.addAll(arguments);
    return ChildProcess.start(name, command, Map.of(), directory.resolve(log + ".log"), lines);
  }

  private synchronized void recordUnexpectedExit(ChildProcess process) {
    if (process.exitedUnexpectedly()) {
      unexpectedExits.add(process.name() + " exited unexpectedly with code " + process.exitCode());
    }
  }

  /** Returns findings on host processes that exited without being stopped by a fault. */
  synchronized List<String> unexpectedExits() {
    hosts.forEach(host -> recordUnexpectedExit(host.process()));
    return List.copyOf(unexpectedExits);
  }

  Builds builds() {
    return builds;
  }

  String storeAddress() {
    return addressPrefix + "2:" + STORE_PORT;
  }

  ChildProcess store() {
    return store;
  }

  List<Host> hosts() {
    return hosts;
  }

  Host host(int target) {
    return hosts.get(target % hosts.size());
  }

  List<Endpoint> endpoints() {
    return endpoints;
  }

  Endpoint endpoint(int target) {
    return endpoints.get(target % endpoints.size());
  }

  @Override
  public void close() {
    hosts.forEach(host -> host.process().kill());
    endpoints.forEach(endpoint -> endpoint.process().kill());
    store.kill();
    hosts.forEach(
        host -> {
          host.callerLink.close();
          host.storeLink.close();
        });
    endpoints.forEach(endpoint -> endpoint.link.close());
  }
}
