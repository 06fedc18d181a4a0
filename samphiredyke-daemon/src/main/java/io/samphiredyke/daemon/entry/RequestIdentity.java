package io.samphiredyke.daemon.entry;

import io.samphiredyke.core.config.Configuration;
import io.samphiredyke.core.config.Customer;
import io.samphiredyke.core.config.Service;
import io.samphiredyke.core.ownership.RequestId;
import io.samphiredyke.core.ownership.Ticket;
import java.util.Optional;

/**
 * Whose request it is and what it is for.
 *
 * @param id the request's id
 * @param ticket the verified ticket of the id
 * @param customer the authenticated customer
 * @param service the service
 * @param tierRank rank of the tier, 0 is the most important
 */
record RequestIdentity(
    RequestId id, Ticket ticket, Customer customer, Service service, int tierRank) {

  /** Returns the identity by the configuration in force, if customer and service still exist. */
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
