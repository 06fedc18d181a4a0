package io.samphiredyke.daemon.entry;

import io.samphiredyke.core.ownership.RequestId;
import io.samphiredyke.core.ownership.Ticket;

/**
 * A request id with its decoded and verified ticket.
 *
 * @param id the request id
 * @param ticket the ticket in the id
 */
record RequestTicket(RequestId id, Ticket ticket) {}
