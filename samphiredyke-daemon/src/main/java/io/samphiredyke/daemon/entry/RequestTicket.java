package io.samphiredyke.daemon.entry;

import io.samphiredyke.core.ownership.RequestId;
import io.samphiredyke.core.ownership.Ticket;

/**
 * A request's id with the verified ticket in it.
 *
 * @param id the id
 * @param ticket the ticket
 */
record RequestTicket(RequestId id, Ticket ticket) {}
