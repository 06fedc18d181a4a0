package io.samphiredyke.soak;

import java.nio.file.Path;

/**
 * What a run consists of.
 *
 * @param seed seed of the plan and of the callers
 * @param seconds length of the plan, without start and end
 * @param hosts number of gateways, three or more
 * @param endpoints number of endpoints, half of them engines
 * @param callers number of callers
 * @param gatewayJar the program of the gateways
 * @param directory where logs go
 * @param network number of the run among those of this process, for addresses of its own
 */
record SoakOptions(
    long seed,
    int seconds,
    int hosts,
    int endpoints,
    int callers,
    Path gatewayJar,
    Path directory,
    int network) {

  /** Main class of the gateways. */
  static final String GATEWAY_CLASS = "io.samphiredyke.gateway.GatewayMain";
}
