package io.samphiredyke.soak;

import io.netty.channel.EventLoopGroup;
import io.samphiredyke.net.control.SocketAddresses;
import io.samphiredyke.platform.SettingsFile;
import io.samphiredyke.platform.standin.EndpointProcess;
import io.samphiredyke.platform.standin.PlatformFixtures;
import io.samphiredyke.platform.standin.StoreProcess;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;

/**
 * The processes of a run and the links between them. Each run has loopback addresses of its own, so
 * that runs can go on side by side.
 */
final class Fleet implements AutoCloseable {

  /** First port of a host; it listens on five in a row. */
  private static final int HOST_PORT = 8_220;

  private static final int STORE_PORT = 8_225;
  private static final int ENDPOINT_PORT = 9_000;
  private static final int CALLER_LINK_PORT = 8_300;

  /** Last parts of addresses: hosts from 10 on, endpoints from 100 on. */
  private static final int FIRST_HOST = 10;

  private static final int FIRST_ENDPOINT = 100;

  /** Second and third parts of addresses are drawn from this process's id. */
  private static final int RUN_NETWORKS = 200;

  /** How the gateway runs, as in deploy/system.toml. */
  private static final List<String> JAVA =
      List.of(
          "java", "-Xms16m", "-Xmx64m", "-Xss256k", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1");

  private final SoakOptions options;
  private final Path directory;
  private final Evidence evidence;
  private final String network;
  private final List<Host> hosts = new ArrayList<>();
  private final List<EndpointSlot> endpoints = new ArrayList<>();
  private final AtomicInteger instances = new AtomicInteger();
  private final List<String> unplannedEnds = new ArrayList<>();
  private final EventLoopGroup group;
  private final ChildProcess store;

  /** A host, its present process and the links that lead to and from it. */
  final class Host {
    private final String name;
    private final String ip;
    private final Link callers;
    private final Link toStore;
    private ChildProcess process;

    private Host(int index) {
      name = "host-" + index;
      ip = network + (FIRST_HOST + index);
      callers =
          new Link(
              group,
              SocketAddresses.parse(ip + ":" + CALLER_LINK_PORT),
              SocketAddresses.parse(ip + ":" + HOST_PORT));
      toStore =
          new Link(
              group,
              SocketAddresses.parse(ip + ":" + STORE_PORT),
              SocketAddresses.parse(storeAddress()));
      process = startHost(this);
    }

    String name() {
      return name;
    }

    /** Address that it tells callers. */
    String address() {
      return ip + ":" + HOST_PORT;
    }

    /** Address at which callers reach it over a link. */
    String linkedAddress() {
      return ip + ":" + CALLER_LINK_PORT;
    }

    String readinessAddress() {
      return ip + ":" + (HOST_PORT + 1);
    }

    String directoryAddress() {
      return ip + ":" + (HOST_PORT + 2);
    }

    Link callers() {
      return callers;
    }

    Link toStore() {
      return toStore;
    }

    synchronized ChildProcess process() {
      return process;
    }

    /** Starts it again; its process before must have ended or is killed. */
    synchronized void restart() {
      noteUnplannedEnd(process);
      process.kill();
      process = startHost(this);
    }
  }

  /** A place for an endpoint: an address behind a link, taken by one instance after another. */
  final class EndpointSlot {
    private final boolean isStream;
    private final String address;
    private final String registered;
    private final Link link;
    private ChildProcess process;

    private EndpointSlot(int index, boolean isStream) {
      this.isStream = isStream;
      String ip = network + (FIRST_ENDPOINT + index);
      address = ip + ":" + ENDPOINT_PORT;
      registered = ip + ":" + (ENDPOINT_PORT + 1);
      link = new Link(group, SocketAddresses.parse(registered), SocketAddresses.parse(address));
      process = startEndpoint(this);
    }

    Link link() {
      return link;
    }

    synchronized ChildProcess process() {
      return process;
    }

    /** Ends the present instance and starts another one at the same address. */
    synchronized void replace() {
      process.kill();
      process = startEndpoint(this);
    }
  }

  Fleet(SoakOptions options, Path directory, Evidence evidence, EventLoopGroup group) {
    this.options = options;
    this.directory = directory;
    this.evidence = evidence;
    this.group = group;
    long run = ProcessHandle.current().pid() * 31 + options.network();
    this.network = "127." + (20 + run % RUN_NETWORKS) + "." + (run / RUN_NETWORKS % 250) + ".";
    this.store = start("store", StoreProcess.class, List.of(storeAddress()), "store", line -> {});
  }

  /** Starts endpoints and hosts. */
  void start() {
    for (int i = 0; i < options.endpoints(); i++) {
      endpoints.add(new EndpointSlot(i, i % 2 == 0));
    }
    for (int i = 0; i < options.hosts(); i++) {
      hosts.add(new Host(i));
    }
  }

  private ChildProcess startHost(Host host) {
    Path settings = directory.resolve(host.name + ".conf");
    List<String> seeds =
        List.of(network + FIRST_HOST, network + (FIRST_HOST + 1), network + (FIRST_HOST + 2));
    List<String> lines =
        PlatformFixtures.settings(host.name, host.ip, HOST_PORT, seeds, host.ip + ":" + STORE_PORT);
    try {
      Files.write(settings, lines);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    List<String> command = new ArrayList<>(JAVA);
    command.addAll(List.of("-cp", options.gatewayJar().toString(), SoakOptions.GATEWAY_CLASS));
    return ChildProcess.start(
        host.name,
        command,
        Map.of(SettingsFile.PATH_VARIABLE, settings.toString()),
        directory.resolve(host.name + ".log"),
        line -> {});
  }

  private ChildProcess startEndpoint(EndpointSlot slot) {
    String service = slot.isStream ? "model" : "plain";
    String id = service.charAt(0) + "-" + instances.incrementAndGet();
    List<String> arguments =
        List.of(
            id,
            service,
            slot.isStream ? "stream" : "plain",
            slot.address,
            slot.registered,
            storeAddress());
    return start(
        id, EndpointProcess.class, arguments, id, line -> evidence.endpointSaid(service, line));
  }

  private ChildProcess start(
      String name, Class<?> main, List<String> arguments, String log, Consumer<String> lines) {
    List<String> command = new ArrayList<>(JAVA);
    command.addAll(List.of("-cp", System.getProperty("java.class.path"), main.getName()));
    command.addAll(arguments);
    return ChildProcess.start(name, command, Map.of(), directory.resolve(log + ".log"), lines);
  }

  private synchronized void noteUnplannedEnd(ChildProcess process) {
    if (process.endedByItself()) {
      unplannedEnds.add(process.name() + " ended by itself with " + process.exitCode());
    }
  }

  /** Returns the hosts' processes that ended though nobody stopped them. */
  synchronized List<String> unplannedEnds() {
    hosts.forEach(host -> noteUnplannedEnd(host.process()));
    return List.copyOf(unplannedEnds);
  }

  String storeAddress() {
    return network + "2:" + STORE_PORT;
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

  EndpointSlot endpoint(int target) {
    return endpoints.get(target % endpoints.size());
  }

  @Override
  public void close() {
    hosts.forEach(host -> host.process().kill());
    endpoints.forEach(endpoint -> endpoint.process().kill());
    store.kill();
    hosts.forEach(
        host -> {
          host.callers.close();
          host.toStore.close();
        });
    endpoints.forEach(endpoint -> endpoint.link.close());
  }
}
