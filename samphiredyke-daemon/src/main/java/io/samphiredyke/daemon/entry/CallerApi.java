package io.samphiredyke.daemon.entry;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.flogger.FluentLogger;
import io.samphiredyke.core.config.Configuration;
import io.samphiredyke.core.config.Customer;
import io.samphiredyke.core.config.Service;
import io.samphiredyke.core.config.ServiceKind;
import io.samphiredyke.core.ownership.Incarnation;
import io.samphiredyke.core.ownership.RequestId;
import io.samphiredyke.core.ownership.Ticket;
import io.samphiredyke.core.ownership.TicketException;
import io.samphiredyke.daemon.answer.CallerStream;
import io.samphiredyke.daemon.answer.Problem;
import io.samphiredyke.daemon.answer.Problem.Ran;
import io.samphiredyke.net.http.HttpException;
import io.samphiredyke.net.http.HttpExchange;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;

/**
 * The pages for callers: addresses, chat completions, calls to plain services, requests by id.
 *
 * <p>Requests are refused by their head where that is possible, before the body is read: wrong
 * keys, wrong hosts, services that may not run here.
 */
public final class CallerApi {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final String SERVICE_HEADER = "samphiredyke-service";
  private static final String ID_HEADER = "idempotency-key";
  private static final String CHAT_PATH = "/v1/chat/completions";
  private static final String SERVICES_PATH = "/v1/services/";
  private static final String REQUESTS_PATH = "/v1/requests/";
  private static final String STREAM_SUFFIX = "/stream";

  private final EntryContext context;
  private final EntryService entry;
  private final AddressBook addresses;
  private final BooleanSupplier isReady;

  /**
   * Creates the pages.
   *
   * @param isReady whether this process has a complete configuration
   */
  public CallerApi(
      EntryContext context, EntryService entry, RandomGenerator random, BooleanSupplier isReady) {
    this.context = context;
    this.entry = entry;
    this.addresses = new AddressBook(context, random);
    this.isReady = isReady;
  }

  /**
   * Answers a request if its path is one of the pages.
   *
   * @return whether the path is known
   */
  public boolean handle(HttpExchange exchange) {
    String path = exchange.path();
    boolean isPost = exchange.method().equals("POST");
    boolean isGet = exchange.method().equals("GET");
    if (isGet && path.equals("/v1/addresses")) {
      guard(exchange, () -> sendAddresses(exchange));
    } else if (isPost && path.equals(CHAT_PATH)) {
      guard(exchange, () -> chat(exchange));
    } else if (isPost && path.startsWith(SERVICES_PATH)) {
      guard(exchange, () -> callService(exchange));
    } else if (isGet && path.startsWith(REQUESTS_PATH)) {
      guard(exchange, () -> showRequest(exchange));
    } else {
      return false;
    }
    return true;
  }

  private void guard(HttpExchange exchange, Runnable action) {
    try {
      if (!isReady.getAsBoolean()) {
        throw new HttpException(503, "this host has no complete configuration yet");
      }
      action.run();
    } catch (RuntimeException e) {
      answerFailure(exchange, e);
    }
  }

  private void answerFailure(HttpExchange exchange, RuntimeException failure) {
    if (failure instanceof MisdirectedException misdirected) {
      context.loop().execute(() -> redirect(exchange, misdirected));
    } else if (failure instanceof HttpException known) {
      refuse(exchange, known);
    } else {
      logger.atWarning().withCause(failure).log("a caller's request failed");
      context.metrics().count("caller-request-failed");
      refuse(exchange, new HttpException(500, "internal error"));
    }
  }

  private void redirect(HttpExchange exchange, MisdirectedException misdirected) {
    String detail = String.valueOf(misdirected.getMessage());
    Problem.of(misdirected.status(), "misdirected", detail, ranOf(exchange))
        .withAddresses(addresses.addressesFor(misdirected))
        .send(exchange);
  }

  /** A request that carries an id may have run before, whatever is wrong with this repetition. */
  private static void refuse(HttpExchange exchange, HttpException e) {
    String detail = String.valueOf(e.getMessage());
    Problem.of(e.status(), "refused", detail, ranOf(exchange)).send(exchange);
  }

  private static Ran ranOf(HttpExchange exchange) {
    boolean namesRequest =
        exchange.header(ID_HEADER) != null || exchange.path().startsWith(REQUESTS_PATH);
    return namesRequest ? Ran.UNKNOWN : Ran.NO;
  }

  /** Refuses by the head while memory is full; a request with an id may only want its answer. */
  private boolean refusedForMemory(HttpExchange exchange) {
    if (exchange.header(ID_HEADER) != null || !context.limits().memory().isFull()) {
      return false;
    }
    context.metrics().count("refused-memory");
    Admissions.memoryFull().send(exchange);
    return true;
  }

  private void sendAddresses(HttpExchange exchange) {
    Customer customer = customer(exchange);
    String name = exchange.query().get("service");
    if (name == null) {
      throw new HttpException(400, "the parameter service is missing");
    }
    Service service = openService(customer, name);
    context
        .loop()
        .execute(
            () -> {
              AddressBook.Answer answer = addresses.issue(customer, service);
              if (answer == null) {
                refuse(exchange, new HttpException(503, "no host may take this service now"));
              } else {
                exchange.respondJson(200, answer);
              }
            });
  }

  private void chat(HttpExchange exchange) {
    Customer customer = customer(exchange);
    Optional<RequestTicket> ticket = ticket(exchange, customer);
    Service known = knownService(exchange, customer, ticket);
    if (known == null) {
      requireAllPermitted(customer);
    } else {
      requirePermitted(known, ticket);
    }
    if (refusedForMemory(exchange)) {
      return;
    }
    exchange
        .body()
        .whenComplete(
            (body, failure) ->
                continueWith(
                    exchange, failure, () -> chat(exchange, customer, ticket, known, body)));
  }

  private void chat(
      HttpExchange exchange,
      Customer customer,
      Optional<RequestTicket> ticket,
      @Nullable Service known,
      byte[] body) {
    JsonNode chat = Payload.parse(body);
    Service service = known == null ? serviceOfModel(customer, chat) : known;
    if (service.kind() != ServiceKind.MODEL) {
      throw new HttpException(400, service.name() + " is not a service of a model");
    }
    submit(exchange, customer, service, ticket, Payload.ofChat(body, chat, service));
  }

  private void callService(HttpExchange exchange) {
    Customer customer = customer(exchange);
    String rest = exchange.path().substring(SERVICES_PATH.length());
    int slash = rest.indexOf('/');
    String name = slash < 0 ? rest : rest.substring(0, slash);
    String path = slash < 0 ? "/" : rest.substring(slash);
    Service service = openService(customer, name);
    if (service.kind() != ServiceKind.PLAIN) {
      throw new HttpException(400, name + " is not a plain service");
    }
    Optional<RequestTicket> ticket = ticket(exchange, customer);
    requireService(ticket, service);
    requirePermitted(service, ticket);
    if (refusedForMemory(exchange)) {
      return;
    }
    exchange
        .body()
        .whenComplete(
            (body, failure) ->
                continueWith(
                    exchange,
                    failure,
                    () -> submit(exchange, customer, service, ticket, Payload.ofCall(path, body))));
  }

  private void showRequest(HttpExchange exchange) {
    Customer customer = customer(exchange);
    String rest = exchange.path().substring(REQUESTS_PATH.length());
    boolean wantsStream = rest.endsWith(STREAM_SUFFIX);
    String text = wantsStream ? rest.substring(0, rest.length() - STREAM_SUFFIX.length()) : rest;
    RequestTicket ticket = ticket(text, customer);
    Service service = openService(customer, ticket.ticket().service());
    requirePermitted(service, Optional.of(ticket));
    submit(exchange, customer, service, Optional.of(ticket), null);
  }

  private void continueWith(HttpExchange exchange, @Nullable Throwable failure, Runnable action) {
    try {
      if (failure instanceof HttpException known) {
        throw known;
      }
      if (failure == null) {
        action.run();
      }
    } catch (RuntimeException e) {
      answerFailure(exchange, e);
    }
  }

  private record RequestTicket(RequestId id, Ticket ticket) {}

  private void submit(
      HttpExchange exchange,
      Customer customer,
      Service service,
      Optional<RequestTicket> ticket,
      @Nullable Payload payload) {
    context
        .loop()
        .execute(
            () ->
                guard(
                    exchange,
                    () -> {
                      RequestTicket used = ticket.orElseGet(() -> ownTicket(customer, service));
                      int rank = context.configuration().get().tierRank(service);
                      RequestIdentity request =
                          new RequestIdentity(used.id(), used.ticket(), customer, service, rank);
                      deliver(exchange, request, payload);
                    }));
  }

  private void deliver(HttpExchange exchange, RequestIdentity request, @Nullable Payload payload) {
    long after = lastEventId(exchange);
    boolean wantsStream =
        payload == null ? exchange.path().endsWith(STREAM_SUFFIX) : payload.wantsStream();
    boolean renewsTicket = !addresses.isChainWhole(request.ticket());
    Optional<CallerStream> caller =
        entry.submit(
            request,
            payload,
            session ->
                new CallerStream(
                    exchange,
                    session.buffer(),
                    request.idText(),
                    after,
                    wantsStream,
                    renewsTicket));
    if (caller.isEmpty()) {
      EntryService.tableFull(ranOf(exchange)).send(exchange);
      return;
    }
    exchange
        .disconnected()
        .thenRun(() -> context.loop().execute(() -> entry.callerLeft(request, caller.get())));
  }

  private static long lastEventId(HttpExchange exchange) {
    String text = exchange.header("last-event-id");
    if (text == null) {
      return 0;
    }
    try {
      return Math.max(0, Long.parseLong(text));
    } catch (NumberFormatException e) {
      return 0;
    }
  }

  private RequestTicket ownTicket(Customer customer, Service service) {
    Ticket ticket = addresses.ownTicket(customer, service);
    RequestId id = new RequestId(context.tickets().encode(ticket), 0);
    return new RequestTicket(id, ticket);
  }

  private Customer customer(HttpExchange exchange) {
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

  private Service openService(Customer customer, String name) {
    return context
        .configuration()
        .get()
        .service(name)
        .filter(service -> service.isOpenTo(customer.name()))
        .orElseThrow(() -> new HttpException(404, "no service " + name + " for this customer"));
  }

  private Optional<RequestTicket> ticket(HttpExchange exchange, Customer customer) {
    String text = exchange.header(ID_HEADER);
    return text == null ? Optional.empty() : Optional.of(ticket(text, customer));
  }

  private RequestTicket ticket(String text, Customer customer) {
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

  private @Nullable Service knownService(
      HttpExchange exchange, Customer customer, Optional<RequestTicket> ticket) {
    if (ticket.isPresent()) {
      return openService(customer, ticket.get().ticket().service());
    }
    String name = exchange.header(SERVICE_HEADER);
    return name == null ? null : openService(customer, name);
  }

  private Service serviceOfModel(Customer customer, JsonNode chat) {
    String name = chat.path("model").asText();
    Configuration configuration = context.configuration().get();
    Optional<Service> byName =
        configuration.service(name).filter(service -> service.isOpenTo(customer.name()));
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
        .filter(service -> service.isOpenTo(customer.name()))
        .toList();
  }

  /** A body whose service is not yet known may be read only where all services may run. */
  private void requireAllPermitted(Customer customer) {
    List<Service> open = openModelServices(customer);
    if (!open.stream().allMatch(this::isPermittedHere)) {
      throw new MisdirectedException(
          "not every service may run here: name it in the header " + SERVICE_HEADER, open, null);
    }
  }

  private boolean isPermittedHere(Service service) {
    return service.dataCentres().contains(context.host().dataCentre());
  }

  private static void requireService(Optional<RequestTicket> ticket, Service service) {
    boolean isOther = ticket.isPresent() && !ticket.get().ticket().service().equals(service.name());
    if (isOther) {
      throw new HttpException(400, "the ticket of the id is for another service");
    }
  }

  private void requirePermitted(Service service, Optional<RequestTicket> ticket) {
    Incarnation self = context.host().incarnation();
    boolean isMember =
        ticket.isEmpty() || ticket.get().ticket().placeOf(self) != Ticket.NOT_A_MEMBER;
    if (isPermittedHere(service) && isMember) {
      return;
    }
    throw new MisdirectedException(
        "this host does not take the request",
        List.of(service),
        ticket.map(RequestTicket::ticket).orElse(null));
  }
}
