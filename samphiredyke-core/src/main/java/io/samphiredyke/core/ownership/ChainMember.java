package io.samphiredyke.core.ownership;

/**
 * Entry process in the chain of a ticket.
 *
 * @param incarnation incarnation of the process
 * @param address address for callers and peers, {@code ip:port}
 * @param mayReceivePayload whether the process is in a data centre that the service permits
 */
public record ChainMember(Incarnation incarnation, String address, boolean mayReceivePayload) {}
