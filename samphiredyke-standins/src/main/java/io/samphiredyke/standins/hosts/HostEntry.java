package io.samphiredyke.standins.hosts;

/**
 * A host of the list.
 *
 * @param name its name
 * @param address {@code ip:port}
 * @param kind {@code entry} or {@code endpoint}
 * @param dataCentre where it stands
 * @param state {@code live} or {@code leaving}
 */
public record HostEntry(
    String name, String address, String kind, String dataCentre, String state) {}
