package io.samphiredyke.daemon.entry;

import io.samphiredyke.core.config.Configuration;
import io.samphiredyke.core.config.Customer;
import io.samphiredyke.core.config.Service;
import io.samphiredyke.core.ownership.RequestId;
import io.samphiredyke.core.ownership.Ticket;
import java.util.Optional;

/**
 * The identity of a request: its id, its customer and the service that it is addressed to.
 *
 * @param id the id of the request
 * @param ticket the verified ticket in the id
 * @param customer the authenticated customer
 * @param service the service that the request is addressed to
 * @param tierRank the rank of the service's tier, 0 is the highest
 */
record RequestIdentity(
    RequestId id, Ticket ticket, Customer customer, Service service, int tierRank) {

  /** Returns the identity, or empty if the customer or the service is not configured any more. */
  static Optional<RequestIdentity> of(RequestId id, Ticket ticket, Configuration configuration) {
    Optional<Customer> customer = configuration.customer(ticket.customer());
    Optional<Service> service = configuration.service(ticket.service());
    if (customer.isEmpty() || service.isEmpty()) {
      return Optional.empty();
    }
    int rank = configuration.tierRank(service.get());
    return Optional.of(new RequestIdentity(id, ticket, customer.get(), service.get(), rank));
  }

  String idText() {
    return id.toString();
  }
}
