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
 * What the parts of an entry share.
 *
 * @param host this process
 * @param loop the control loop
 * @param traffic the event loops of callers and endpoints
 * @param http sends requests to endpoints
 * @param peers sends requests to other processes
 * @param configuration gives the configuration in force
 * @param membership the live hosts
 * @param witness the registers kept here
 * @param tickets reads and writes tickets
 * @param isLeaving whether an endpoint takes no new work
 * @param invariants where invariants are checked
 * @param metrics the process's metrics
 * @param learned what this entry has learned about endpoints and requests
 * @param ticketLifetime how long a ticket is valid
 * @param resumeWindow how long an answer is kept for a caller that left
 * @param limits bounds of what is held
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
    Predicate<Endpoint> isLeaving,
    InvariantChecker invariants,
    Metrics metrics,
    RoutingState learned,
    Duration ticketLifetime,
    Duration resumeWindow,
    EntryLimits limits) {}
