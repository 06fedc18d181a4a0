package io.samphiredyke.daemon.entry;

import com.fasterxml.jackson.databind.JsonNode;
import io.samphiredyke.core.config.Configuration;
import io.samphiredyke.core.config.Customer;
import io.samphiredyke.core.config.Service;
import io.samphiredyke.core.config.ServiceKind;
import io.samphiredyke.core.ownership.Incarnation;
import io.samphiredyke.core.ownership.RequestId;
import io.samphiredyke.core.ownership.Ticket;
import io.samphiredyke.core.ownership.TicketException;
import io.samphiredyke.net.http.HttpException;
import io.samphiredyke.net.http.HttpExchange;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/** Validates the head of a request, so that it can be refused before its body is read. */
final class RequestHeadValidator {

  private static final String SERVICE_HEADER = "samphiredyke-service";
  private static final String ID_HEADER = "idempotency-key";

  private final EntryContext context;

  RequestHeadValidator(EntryContext context) {
    this.context = context;
  }

  /**
   * Returns the customer that the request's bearer key belongs to.
   *
   * @throws HttpException 401 if the key is missing or unknown
   */
  Customer authenticate(HttpExchange exchange) {
    String header = exchange.header("authorization");
    if (header == null || !header.startsWith("Bearer ")) {
      throw new HttpException(401, "the header Authorization with a bearer key is missing");
    }
    String key = header.substring("Bearer ".length()).trim();
    return context
        .configuration()
        .get()
        .customerByKeyDigest(digest(key))
        .orElseThrow(() -> new HttpException(401, "the key is not known"));
  }

  private static String digest(String key) {
    try {
      MessageDigest sha256 = MessageDigest.getInstance("SHA-256");
      return HexFormat.of().formatHex(sha256.digest(key.getBytes(StandardCharsets.UTF_8)));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("SHA-256 is not available", e);
    }
  }

  /**
   * Returns a service that a customer may use.
   *
   * @throws HttpException 404 if it does not exist or is not open to the customer
   */
  Service findAccessibleService(Customer customer, String name) {
    return context
        .configuration()
        .get()
        .service(name)
        .filter(service -> service.allowsCustomer(customer.name()))
        .orElseThrow(() -> new HttpException(404, "no service " + name + " for this customer"));
  }

  /** Verifies the ticket in the request id header, or returns empty if there is no such header. */
  Optional<RequestTicket> verifyTicket(HttpExchange exchange, Customer customer) {
    String text = exchange.header(ID_HEADER);
    return text == null ? Optional.empty() : Optional.of(verifyTicket(text, customer));
  }

  /**
   * Verifies the ticket in a request id.
   *
   * @throws HttpException 400 if the id or its ticket is invalid, 410 if the ticket has expired,
   *     404 if it was issued to another customer
   */
  RequestTicket verifyTicket(String text, Customer customer) {
    RequestId id =
        RequestId.parse(text)
            .orElseThrow(() -> new HttpException(400, "the request id is not ticket.sequence"));
    Ticket ticket;
    try {
      ticket = context.tickets().decode(id.token(), context.loop().epochMillis());
    } catch (TicketException e) {
      boolean isExpired = e.reason() == TicketException.Reason.EXPIRED;
      throw new HttpException(isExpired ? 410 : 400, "the ticket of the id is " + e.reason());
    }
    if (!ticket.customer().equals(customer.name())) {
      throw new HttpException(404, "no such request");
    }
    return new RequestTicket(id, ticket);
  }

  /** Returns the service named by the ticket or the service header, or null if there is neither. */
  @Nullable Service serviceFromHead(
      HttpExchange exchange, Customer customer, Optional<RequestTicket> ticket) {
    if (ticket.isPresent()) {
      return findAccessibleService(customer, ticket.get().ticket().service());
    }
    String name = exchange.header(SERVICE_HEADER);
    return name == null ? null : findAccessibleService(customer, name);
  }

  /**
   * Returns the service that a chat completion names as its model: a service of that name, or else
   * the only service of that model that the customer may use.
   *
   * @throws HttpException 400 if the service is not unique
   */
  Service serviceFromBody(Customer customer, JsonNode chat) {
    String name = chat.path("model").asText();
    Configuration configuration = context.configuration().get();
    Optional<Service> byName =
        configuration.service(name).filter(service -> service.allowsCustomer(customer.name()));
    if (byName.isPresent()) {
      return byName.get();
    }
    List<Service> byModel =
        accessibleModelServices(customer).stream()
            .filter(service -> name.equals(service.model()))
            .toList();
    if (byModel.size() == 1) {
      return byModel.get(0);
    }
    throw new HttpException(
        400, "name the service as the model or in the header " + SERVICE_HEADER);
  }

  private List<Service> accessibleModelServices(Customer customer) {
    return context.configuration().get().services().stream()
        .filter(service -> service.kind() == ServiceKind.MODEL)
        .filter(service -> service.allowsCustomer(customer.name()))
        .toList();
  }

  /**
   * Requires that all services of the customer are permitted in this data centre. A body whose
   * service is not yet known may be read only then.
   */
  void requireAllServicesPermitted(Customer customer) {
    List<Service> accessible = accessibleModelServices(customer);
    if (!accessible.stream().allMatch(this::isPermittedHere)) {
      throw new MisdirectedException(
          "not every service may run here: name it in the header " + SERVICE_HEADER,
          accessible,
          null);
    }
  }

  private boolean isPermittedHere(Service service) {
    return service.dataCentres().contains(context.host().dataCentre());
  }

  /** Requires that the ticket, if there is one, was issued for a service. */
  static void requireMatchingService(Optional<RequestTicket> ticket, Service service) {
    boolean isOther = ticket.isPresent() && !ticket.get().ticket().service().equals(service.name());
    if (isOther) {
      throw new HttpException(400, "the ticket of the id is for another service");
    }
  }

  /**
   * Requires that the service is permitted in this data centre and that this host is in the
   * ticket's chain, if there is a ticket.
   */
  void requirePermitted(Service service, Optional<RequestTicket> ticket) {
    Incarnation self = context.host().incarnation();
    boolean isMember =
        ticket.isEmpty() || ticket.get().ticket().positionOf(self) != Ticket.NOT_IN_CHAIN;
    if (isPermittedHere(service) && isMember) {
      return;
    }
    throw new MisdirectedException(
        "this host does not take the request",
        List.of(service),
        ticket.map(RequestTicket::ticket).orElse(null));
  }
}
