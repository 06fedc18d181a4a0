package io.samphiredyke.daemon.entry;

import io.netty.channel.EventLoopGroup;
import io.samphiredyke.core.config.Configuration;
import io.samphiredyke.core.config.Endpoint;
import io.samphiredyke.core.invariant.InvariantChecker;
import io.samphiredyke.core.ownership.TicketCodec;
import io.samphiredyke.daemon.admin.Metrics;
import io.samphiredyke.daemon.host.HostIdentity;
import io.samphiredyke.daemon.membership.MembershipService;
import io.samphiredyke.daemon.peer.PeerClient;
import io.samphiredyke.daemon.witness.WitnessService;
import io.samphiredyke.net.control.ControlEventLoop;
import io.samphiredyke.net.http.HttpClient;
import java.time.Duration;
import java.util.function.Predicate;
import java.util.function.Supplier;

/**
 * The dependencies that the components of an entry share.
 *
 * @param host the identity of the local host
 * @param loop the control loop
 * @param traffic the event loops of the connections to callers and endpoints
 * @param http the client for requests to endpoints
 * @param peers the client for messages to other hosts
 * @param configuration returns the active configuration
 * @param membership the live hosts
 * @param witness the registers that this host stores for other hosts' requests
 * @param tickets encodes and decodes tickets
 * @param isDraining tests whether an endpoint is draining and accepts no new work
 * @param invariants the checker of invariants
 * @param metrics the metrics of the process
 * @param routing what this entry has observed about endpoints and request lengths
 * @param ticketLifetime how long a ticket is valid
 * @param resumeWindow how long a response is kept for a caller that disconnected
 * @param limits bounds of the memory and the number of sessions
 */
public record EntryContext(
    HostIdentity host,
    ControlEventLoop loop,
    EventLoopGroup traffic,
    HttpClient http,
    PeerClient peers,
    Supplier<Configuration> configuration,
    MembershipService membership,
    WitnessService witness,
    TicketCodec tickets,
    Predicate<Endpoint> isDraining,
    InvariantChecker invariants,
    Metrics metrics,
    RoutingState routing,
    Duration ticketLifetime,
    Duration resumeWindow,
    EntryLimits limits) {}
