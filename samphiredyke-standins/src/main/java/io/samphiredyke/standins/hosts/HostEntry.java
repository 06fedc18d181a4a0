package io.samphiredyke.standins.hosts;

/**
 * A host in the host list.
 *
 * @param name the host's name
 * @param address {@code ip:port}
 * @param kind {@code entry} or {@code endpoint}
 * @param dataCentre the host's data centre
 * @param state {@code live} or {@code leaving}
 */
public record HostEntry(
    String name, String address, String kind, String dataCentre, String state) {}
