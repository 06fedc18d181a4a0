package io.samphiredyke.gateway;

import io.netty.channel.EventLoopGroup;
import io.samphiredyke.gateway.upstream.AddressResolver;
import io.samphiredyke.net.control.SocketAddresses;
import io.samphiredyke.platform.standin.EndpointStandIn;
import io.samphiredyke.platform.standin.Link;
import io.samphiredyke.platform.standin.SilentPort;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The paths of one host to all endpoints, which can be cut. */
final class EndpointCut implements AddressResolver {

  /** What becomes of the host's connections to endpoints. */
  enum Kind {
    /** Nothing passes: open connections stall, and connecting hangs. */
    SILENT,
    /** Open connections are reset, and new ones are refused. */
    RESET,
    /** Open connections work on, and new ones are refused. */
    NEW_REFUSED
  }

  /** A port at which nothing listens. */
  private static final InetSocketAddress REFUSING = new InetSocketAddress("127.0.0.1", 1);

  private final SilentPort silentPort;
  private final Map<String, Link> links = new HashMap<>();
  private volatile Kind kind = Kind.NEW_REFUSED;
  private volatile boolean isCut;

  /** Opens a link to each endpoint. */
  EndpointCut(EventLoopGroup group, SilentPort silentPort, List<EndpointStandIn> endpoints) {
    this.silentPort = silentPort;
    for (EndpointStandIn endpoint : endpoints) {
      InetSocketAddress target = SocketAddresses.parse(endpoint.address());
      links.put(endpoint.address(), new Link(group, SocketAddresses.parse("127.0.0.1:0"), target));
    }
  }

  @Override
  public InetSocketAddress resolve(String address) {
    Link link = links.get(address);
    if (link == null) {
      throw new IllegalArgumentException(address);
    }
    if (!isCut) {
      return new InetSocketAddress("127.0.0.1", link.port());
    }
    return kind == Kind.SILENT ? silentPort.address() : REFUSING;
  }

  void cut(Kind value) {
    kind = value;
    isCut = true;
    switch (value) {
      case SILENT -> links.values().forEach(link -> link.mode(Link.Mode.STALL));
      case RESET -> links.values().forEach(Link::reset);
      default -> {}
    }
  }

  /** Lets everything pass again, also what was sent on stalled connections. */
  void heal() {
    isCut = false;
    links.values().forEach(link -> link.mode(Link.Mode.PASS));
  }

  /** Returns how many times bytes have passed to endpoints. */
  int forwarded() {
    return links.values().stream().mapToInt(Link::forwarded).sum();
  }
}
