package io.samphiredyke.soak;

import java.nio.file.Path;

/**
 * Options of a soak run.
 *
 * @param seed seed of the fault plan and of the callers
 * @param seconds length of the fault plan, without startup and final checks
 * @param hosts number of gateways, three or more
 * @param endpoints number of endpoints, half of them engines
 * @param callers number of callers
 * @param gatewayJar JAR file of the gateway
 * @param directory directory for logs
 * @param network number of the run among the runs of this process, from which its addresses are
 *     derived
 * @param endpointFaults comma-separated {@link io.samphiredyke.platform.standin.EndpointFault}s,
 *     empty for endpoints that follow the protocol
 * @param gatewayBefore JAR file of the build that hosts begin with, {@code gatewayJar} in a run of
 *     one build
 */
record SoakOptions(
    long seed,
    int seconds,
    int hosts,
    int endpoints,
    int callers,
    Path gatewayJar,
    Path directory,
    int network,
    String endpointFaults,
    Path gatewayBefore) {

  /** Main class of the gateways. */
  static final String GATEWAY_CLASS = "io.samphiredyke.gateway.GatewayMain";

  /** Options of a run of one build. */
  SoakOptions(
      long seed,
      int seconds,
      int hosts,
      int endpoints,
      int callers,
      Path gatewayJar,
      Path directory,
      int network,
      String endpointFaults) {
    this(
        seed,
        seconds,
        hosts,
        endpoints,
        callers,
        gatewayJar,
        directory,
        network,
        endpointFaults,
        gatewayJar);
  }

  /** Returns whether hosts of an earlier build are replaced in the run. */
  boolean isMixed() {
    return !gatewayBefore.equals(gatewayJar);
  }

  boolean hasEndpointFaults() {
    return !endpointFaults.isEmpty();
  }
}
