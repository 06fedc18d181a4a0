package io.samphiredyke.daemon.host;

import io.samphiredyke.core.ownership.Incarnation;

/**
 * This process as others see it.
 *
 * @param name the host's name
 * @param dataCentre the host's data centre
 * @param incarnation identity of this run of the process
 * @param callerAddress where callers connect, {@code ip:port}
 * @param peerAddress where other hosts connect, {@code ip:port}
 */
public record HostIdentity(
    String name,
    String dataCentre,
    Incarnation incarnation,
    String callerAddress,
    String peerAddress) {}
