package io.samphiredyke.gateway.upstream;

import java.net.InetSocketAddress;

/** Resolves the registered addresses of endpoints to the addresses that are connected to. */
@FunctionalInterface
public interface AddressResolver {

  /**
   * Resolves an address.
   *
   * @param address {@code ip:port} as registered by the endpoint
   * @throws IllegalArgumentException if the text is not {@code ip:port}
   */
  InetSocketAddress resolve(String address);
}
