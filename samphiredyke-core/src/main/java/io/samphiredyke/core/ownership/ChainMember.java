package io.samphiredyke.core.ownership;

/**
 * One entry process in the chain of a ticket.
 *
 * @param incarnation the run of the process
 * @param address its address for callers and peers as {@code ip:port}
 * @param mayReceivePayload whether the process is in a permitted data centre of the service
 */
public record ChainMember(Incarnation incarnation, String address, boolean mayReceivePayload) {}
