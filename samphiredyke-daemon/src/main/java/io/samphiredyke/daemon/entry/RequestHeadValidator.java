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

/** Checks of a request's head, by which it is refused before its body is read. */
final class RequestHeadValidator {

  private static final String SERVICE_HEADER = "samphiredyke-service";
  private static final String ID_HEADER = "idempotency-key";

  private final EntryContext context;

  RequestHeadValidator(EntryContext context) {
    this.context = context;
  }

  /**
   * Returns the customer whose key the request carries.
   *
   * @throws HttpException 401 if there is none
   */
  Customer customer(HttpExchange exchange) {
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
      throw new IllegalStateException("every Java platform has SHA-256", e);
    }
  }

  /**
   * Returns a service that is open to a customer.
   *
   * @throws HttpException 404 if there is none
   */
  Service openService(Customer customer, String name) {
    return context
        .configuration()
        .get()
        .service(name)
        .filter(service -> service.allowsCustomer(customer.name()))
        .orElseThrow(() -> new HttpException(404, "no service " + name + " for this customer"));
  }

  Optional<RequestTicket> ticket(HttpExchange exchange, Customer customer) {
    String text = exchange.header(ID_HEADER);
    return text == null ? Optional.empty() : Optional.of(ticket(text, customer));
  }

  RequestTicket ticket(String text, Customer customer) {
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

  @Nullable Service knownService(
      HttpExchange exchange, Customer customer, Optional<RequestTicket> ticket) {
    if (ticket.isPresent()) {
      return openService(customer, ticket.get().ticket().service());
    }
    String name = exchange.header(SERVICE_HEADER);
    return name == null ? null : openService(customer, name);
  }

  Service serviceOfModel(Customer customer, JsonNode chat) {
    String name = chat.path("model").asText();
    Configuration configuration = context.configuration().get();
    Optional<Service> byName =
        configuration.service(name).filter(service -> service.allowsCustomer(customer.name()));
    if (byName.isPresent()) {
      return byName.get();
    }
    List<Service> byModel =
        openModelServices(customer).stream()
            .filter(service -> name.equals(service.model()))
            .toList();
    if (byModel.size() == 1) {
      return byModel.get(0);
    }
    throw new HttpException(
        400, "name the service as the model or in the header " + SERVICE_HEADER);
  }

  private List<Service> openModelServices(Customer customer) {
    return context.configuration().get().services().stream()
        .filter(service -> service.kind() == ServiceKind.MODEL)
        .filter(service -> service.allowsCustomer(customer.name()))
        .toList();
  }

  /** A body whose service is not yet known may be read only where all services may run. */
  void requireAllPermitted(Customer customer) {
    List<Service> open = openModelServices(customer);
    if (!open.stream().allMatch(this::isPermittedHere)) {
      throw new MisdirectedException(
          "not every service may run here: name it in the header " + SERVICE_HEADER, open, null);
    }
  }

  private boolean isPermittedHere(Service service) {
    return service.dataCentres().contains(context.host().dataCentre());
  }

  static void requireService(Optional<RequestTicket> ticket, Service service) {
    boolean isOther = ticket.isPresent() && !ticket.get().ticket().service().equals(service.name());
    if (isOther) {
      throw new HttpException(400, "the ticket of the id is for another service");
    }
  }

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
