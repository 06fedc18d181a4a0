package io.samphiredyke.net.peer;

/**
 * The identity of a process towards its peers.
 *
 * @param name the name of the host
 * @param incarnation 128 random bits in hexadecimal, new at each start of the process
 * @param address the address of its peer listener, {@code ip:port}
 * @param dataCentre the data centre of the host
 */
public record PeerIdentity(String name, String incarnation, String address, String dataCentre) {}
