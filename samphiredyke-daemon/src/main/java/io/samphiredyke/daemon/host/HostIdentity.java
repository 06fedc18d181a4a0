package io.samphiredyke.daemon.host;

import io.samphiredyke.core.ownership.Incarnation;

/**
 * The identity and addresses by which other processes know the local host.
 *
 * @param name the name of the host
 * @param dataCentre the data centre of the host
 * @param incarnation the identity of this run of the process
 * @param callerAddress the address for callers, {@code ip:port}
 * @param peerAddress the address for other hosts, {@code ip:port}
 */
public record HostIdentity(
    String name,
    String dataCentre,
    Incarnation incarnation,
    String callerAddress,
    String peerAddress) {}
