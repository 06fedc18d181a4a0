package io.samphiredyke.net.peer;

/**
 * One process as its peers see it.
 *
 * @param name the host's name
 * @param incarnation 128 random bits in hexadecimal, new at each start of the process
 * @param address the address of its peer listener, {@code ip:port}
 * @param dataCentre its data centre
 */
public record PeerIdentity(String name, String incarnation, String address, String dataCentre) {}
