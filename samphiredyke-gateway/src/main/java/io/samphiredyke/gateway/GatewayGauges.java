package io.samphiredyke.gateway;

import io.samphiredyke.core.pool.EndpointPauses;
import io.samphiredyke.core.pool.PartQuarantine;
import io.samphiredyke.core.serving.EndpointDirectory;
import io.samphiredyke.gateway.frontend.FrontendServer;
import io.samphiredyke.gateway.log.DecisionLog;
import io.samphiredyke.gateway.metrics.GatewayMetrics;
import io.samphiredyke.gateway.request.RequestService;
import io.samphiredyke.gateway.request.RequestsInProgress;
import io.samphiredyke.gateway.rollout.RolloutService;
import io.samphiredyke.gateway.scheduling.CrashWatch;
import io.samphiredyke.gateway.scheduling.EndpointStatements;
import io.samphiredyke.gateway.scheduling.PeerGroup;
import io.samphiredyke.gateway.store.StoreEraTracker;
import io.samphiredyke.gateway.store.StreamOriginArchive;
import io.samphiredyke.gateway.store.TopicFollower;
import io.samphiredyke.gateway.upstream.EndpointConnectionPool;
import io.samphiredyke.net.http.ClientMemory;

/** Registers the gauges whose values are read from the gateway's components on each scrape. */
final class GatewayGauges {

  private final GatewayMetrics metrics;

  GatewayGauges(GatewayMetrics metrics) {
    this.metrics = metrics;
  }

  GatewayGauges register(
      DecisionLog log,
      FrontendServer frontend,
      PeerGroup peers,
      EndpointConnectionPool connections,
      EndpointDirectory directory,
      TopicFollower configuration,
      TopicFollower endpoints) {
    metrics.gauge(
        "samphiredyke_caller_connections", "Open connections.", frontend::openConnections);
    metrics.gauge("samphiredyke_live_hosts", "Hosts seen alive.", () -> peers.liveMembers().size());
    metrics.gauge("samphiredyke_log_lines_dropped", "Log lines dropped under load.", log::dropped);
    metrics.gauge(
        "samphiredyke_held_places", "Places held here.", () -> peers.slotClient().heldSlots());
    metrics.gauge(
        "samphiredyke_malformed_datagrams", "Datagrams not understood.", peers::malformedDatagrams);
    metrics.gauge(
        "samphiredyke_endpoint_connections_opened",
        "Connections opened to endpoints.",
        connections::openedConnections);
    metrics.gauge(
        "samphiredyke_surplus_responses",
        "Connections to endpoints closed because of bytes beyond a response.",
        connections::surplusResponses);
    metrics.gauge(
        "samphiredyke_responses_without_id",
        "Connections to endpoints closed because of a response that states no request id.",
        connections::responsesWithoutId);
    metrics.gauge(
        "samphiredyke_endpoints", "Endpoints that take requests.", () -> directory.all().size());
    metrics.gauge(
        "samphiredyke_configuration_read_age_seconds",
        "Time since the store last answered about the configuration.",
        configuration::secondsSinceRead);
    metrics.gauge(
        "samphiredyke_store_calls",
        "Calls to the store.",
        () -> configuration.calls() + endpoints.calls());
    return this;
  }

  GatewayGauges registerStatements(
      EndpointStatements statements,
      EndpointPauses pauses,
      PartQuarantine quarantine,
      StoreEraTracker era) {
    metrics.gauge(
        "samphiredyke_limited_endpoints",
        "Endpoints that state a limit on the requests per second.",
        statements::limitedEndpoints);
    metrics.gauge(
        "samphiredyke_brittle_endpoints",
        "Endpoints that state that they fail if they refuse more requests than a number a second.",
        statements::brittleEndpoints);
    metrics.gauge(
        "samphiredyke_paused_endpoints",
        "Endpoints that want no requests from this host for a time.",
        pauses::size);
    metrics.gauge(
        "samphiredyke_quarantined_prompt_parts",
        "Prompt parts whose requests are refused, because they crash endpoints.",
        quarantine::size);
    metrics.gauge("samphiredyke_store_era", "Era of the store, -1 if unknown.", era::era);
    return this;
  }

  GatewayGauges registerCrashes(CrashWatch crashes) {
    metrics.gauge(
        "samphiredyke_suspected_requests",
        "Requests that were running when an endpoint crashed and have not been served since.",
        crashes::suspectCount);
    metrics.gauge(
        "samphiredyke_quarantined_requests",
        "Requests that are refused, because they crash endpoints.",
        crashes.quarantine()::size);
    return this;
  }

  GatewayGauges registerRequests(RequestsInProgress requests, StreamOriginArchive streams) {
    metrics.gauge(
        "samphiredyke_requests_in_progress", "Requests that are not answered.", requests::size);
    metrics.gauge(
        "samphiredyke_unwritten_streams",
        "Streams whose version is not in the store yet.",
        streams::unwritten);
    return this;
  }

  GatewayGauges registerResponses(RequestService service) {
    metrics.gauge(
        "samphiredyke_buffered_response_bytes",
        "Bytes of responses that are buffered until they are complete.",
        service::bufferedResponseBytes);
    metrics.gauge(
        "samphiredyke_unbuffered_responses",
        "Responses that were relayed as they came because no memory was left for them.",
        service::unbufferedResponses);
    return this;
  }

  GatewayGauges registerPaths(EndpointAccess access) {
    metrics.gauge(
        "samphiredyke_lost_paths",
        "Endpoint addresses that this host reaches only through other hosts.",
        access.paths().endpoints()::size);
    metrics.gauge(
        "samphiredyke_peer_connections_opened",
        "Connections opened to endpoints through other hosts.",
        access.paths()::tunnelledConnections);
    metrics.gauge(
        "samphiredyke_open_tunnels",
        "Tunnels to endpoints that are open for other hosts.",
        access.tunnels()::openTunnels);
    metrics.gauge(
        "samphiredyke_tunnels_opened",
        "Tunnels to endpoints opened for other hosts.",
        access.tunnels()::opened);
    metrics.gauge(
        "samphiredyke_tunnels_refused",
        "Requests of other hosts for tunnels that were refused or failed.",
        access.tunnels()::refused);
    return this;
  }

  GatewayGauges registerClients(ClientLimits clients, FrontendServer frontend) {
    ClientMemory memory = clients.memory();
    metrics.gauge(
        "samphiredyke_client_memory_bytes",
        "Memory that requests occupy from their first byte to their response.",
        memory::used);
    metrics.gauge(
        "samphiredyke_client_memory_limit_bytes",
        "Memory that requests may occupy, from which on connections give way.",
        memory::limit);
    metrics.gauge(
        "samphiredyke_client_memory_reclaimed",
        "Connections whose requests were refused because the memory for them was used up.",
        memory::reclaimed);
    metrics.gauge(
        "samphiredyke_caller_connections_limit",
        "Connections of callers that may be open, from which on new ones displace idle ones.",
        clients::callerConnections);
    metrics.gauge(
        "samphiredyke_caller_connections_displaced",
        "Connections of callers that were closed because too many were open.",
        frontend::displacedConnections);
    return this;
  }

  void registerRollouts(RolloutService rollouts) {
    metrics.gauge(
        "samphiredyke_running_rollouts", "Roll-outs that have not ended.", rollouts::running);
    metrics.gauge(
        "samphiredyke_rollout_exposure",
        "Requests that this host has granted to the new versions of roll-outs.",
        rollouts::exposure);
  }
}
