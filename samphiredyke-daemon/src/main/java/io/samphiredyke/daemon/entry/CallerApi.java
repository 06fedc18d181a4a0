package io.samphiredyke.daemon.entry;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.flogger.FluentLogger;
import io.samphiredyke.core.config.Customer;
import io.samphiredyke.core.config.Service;
import io.samphiredyke.core.config.ServiceKind;
import io.samphiredyke.core.ownership.RequestId;
import io.samphiredyke.core.ownership.Ticket;
import io.samphiredyke.daemon.response.Problem;
import io.samphiredyke.daemon.response.Problem.ExecutionStatus;
import io.samphiredyke.daemon.response.ResponseWriter;
import io.samphiredyke.net.http.HttpException;
import io.samphiredyke.net.http.HttpExchange;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;

/**
 * The HTTP API for callers: addresses, chat completions, calls to plain services and requests by
 * id.
 *
 * <p>Where possible, a request is refused by its head before its body is read: for an unknown key,
 * a wrong host or a service that is not permitted in this data centre.
 */
public final class CallerApi {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final String ID_HEADER = "idempotency-key";
  private static final String CHAT_PATH = "/v1/chat/completions";
  private static final String SERVICES_PATH = "/v1/services/";
  private static final String REQUESTS_PATH = "/v1/requests/";
  private static final String STREAM_SUFFIX = "/stream";

  private final EntryContext context;
  private final EntryService entry;
  private final TicketIssuer ticketIssuer;
  private final RequestHeadValidator headValidator;
  private final BooleanSupplier isReady;

  /**
   * Creates the API.
   *
   * @param isReady returns whether this process has a complete configuration
   */
  public CallerApi(
      EntryContext context, EntryService entry, RandomGenerator random, BooleanSupplier isReady) {
    this.context = context;
    this.entry = entry;
    this.ticketIssuer = new TicketIssuer(context, random);
    this.headValidator = new RequestHeadValidator(context);
    this.isReady = isReady;
  }

  /**
   * Handles a request if its method and path belong to this API.
   *
   * @return whether the request was handled
   */
  public boolean handle(HttpExchange exchange) {
    String path = exchange.path();
    boolean isPost = exchange.method().equals("POST");
    boolean isGet = exchange.method().equals("GET");
    if (isGet && path.equals("/v1/addresses")) {
      handleErrors(exchange, () -> sendAddresses(exchange));
    } else if (isPost && path.equals(CHAT_PATH)) {
      handleErrors(exchange, () -> chat(exchange));
    } else if (isPost && path.startsWith(SERVICES_PATH)) {
      handleErrors(exchange, () -> callService(exchange));
    } else if (isGet && path.startsWith(REQUESTS_PATH)) {
      handleErrors(exchange, () -> resumeRequest(exchange));
    } else {
      return false;
    }
    return true;
  }

  private void handleErrors(HttpExchange exchange, Runnable action) {
    try {
      if (!isReady.getAsBoolean()) {
        throw new HttpException(503, "this host has no complete configuration yet");
      }
      action.run();
    } catch (RuntimeException e) {
      sendFailure(exchange, e);
    }
  }

  private void sendFailure(HttpExchange exchange, RuntimeException failure) {
    if (failure instanceof MisdirectedException misdirected) {
      context.loop().execute(() -> redirect(exchange, misdirected));
    } else if (failure instanceof HttpException httpFailure) {
      refuse(exchange, httpFailure);
    } else {
      logger.atWarning().withCause(failure).log(
          "unexpected failure while handling a caller's request");
      context.metrics().count("caller-request-failed");
      refuse(exchange, new HttpException(500, "internal error"));
    }
  }

  private void redirect(HttpExchange exchange, MisdirectedException misdirected) {
    String detail = String.valueOf(misdirected.getMessage());
    Problem.of(misdirected.status(), "misdirected", detail, executionStatusOf(exchange))
        .withAddresses(ticketIssuer.addressesFor(misdirected))
        .send(exchange);
  }

  private static void refuse(HttpExchange exchange, HttpException e) {
    String detail = String.valueOf(e.getMessage());
    Problem.of(e.status(), "refused", detail, executionStatusOf(exchange)).send(exchange);
  }

  /**
   * Returns the execution status of a refused request. A request with an id may be a retry of one
   * that was executed earlier, so its status is unknown.
   */
  private static ExecutionStatus executionStatusOf(HttpExchange exchange) {
    boolean namesRequest =
        exchange.header(ID_HEADER) != null || exchange.path().startsWith(REQUESTS_PATH);
    return namesRequest ? ExecutionStatus.UNKNOWN : ExecutionStatus.NOT_EXECUTED;
  }

  /**
   * Refuses a request before its body is read while memory is full. A request with an id is let
   * through, because it may only fetch its response.
   */
  private boolean refuseIfMemoryFull(HttpExchange exchange) {
    if (exchange.header(ID_HEADER) != null || !context.limits().memory().isFull()) {
      return false;
    }
    context.metrics().count("refused-memory");
    AdmissionControl.memoryFull().send(exchange);
    return true;
  }

  private void sendAddresses(HttpExchange exchange) {
    Customer customer = headValidator.authenticate(exchange);
    String name = exchange.query().get("service");
    if (name == null) {
      throw new HttpException(400, "the parameter service is missing");
    }
    Service service = headValidator.findAccessibleService(customer, name);
    context
        .loop()
        .execute(
            () -> {
              TicketIssuer.AddressResponse response = ticketIssuer.issue(customer, service);
              if (response == null) {
                refuse(exchange, new HttpException(503, "no host may take this service now"));
              } else {
                exchange.respondJson(200, response);
              }
            });
  }

  private void chat(HttpExchange exchange) {
    Customer customer = headValidator.authenticate(exchange);
    Optional<RequestTicket> ticket = headValidator.verifyTicket(exchange, customer);
    Service headService = headValidator.serviceFromHead(exchange, customer, ticket);
    if (headService == null) {
      headValidator.requireAllServicesPermitted(customer);
    } else {
      headValidator.requirePermitted(headService, ticket);
    }
    if (refuseIfMemoryFull(exchange)) {
      return;
    }
    exchange
        .body()
        .whenComplete(
            (body, failure) ->
                handleBody(
                    exchange, failure, () -> chat(exchange, customer, ticket, headService, body)));
  }

  private void chat(
      HttpExchange exchange,
      Customer customer,
      Optional<RequestTicket> ticket,
      @Nullable Service headService,
      byte[] body) {
    JsonNode chat = Payload.parse(body);
    Service service =
        headService == null ? headValidator.serviceFromBody(customer, chat) : headService;
    if (service.kind() != ServiceKind.MODEL) {
      throw new HttpException(400, service.name() + " is not a service of a model");
    }
    submit(exchange, customer, service, ticket, Payload.ofChat(body, chat, service));
  }

  private void callService(HttpExchange exchange) {
    Customer customer = headValidator.authenticate(exchange);
    String rest = exchange.path().substring(SERVICES_PATH.length());
    int slash = rest.indexOf('/');
    String name = slash < 0 ? rest : rest.substring(0, slash);
    String path = slash < 0 ? "/" : rest.substring(slash);
    Service service = headValidator.findAccessibleService(customer, name);
    if (service.kind() != ServiceKind.PLAIN) {
      throw new HttpException(400, name + " is not a plain service");
    }
    Optional<RequestTicket> ticket = headValidator.verifyTicket(exchange, customer);
    RequestHeadValidator.requireMatchingService(ticket, service);
    headValidator.requirePermitted(service, ticket);
    if (refuseIfMemoryFull(exchange)) {
      return;
    }
    exchange
        .body()
        .whenComplete(
            (body, failure) ->
                handleBody(
                    exchange,
                    failure,
                    () -> submit(exchange, customer, service, ticket, Payload.ofCall(path, body))));
  }

  private void resumeRequest(HttpExchange exchange) {
    Customer customer = headValidator.authenticate(exchange);
    String rest = exchange.path().substring(REQUESTS_PATH.length());
    boolean wantsStream = rest.endsWith(STREAM_SUFFIX);
    String text = wantsStream ? rest.substring(0, rest.length() - STREAM_SUFFIX.length()) : rest;
    RequestTicket ticket = headValidator.verifyTicket(text, customer);
    Service service = headValidator.findAccessibleService(customer, ticket.ticket().service());
    headValidator.requirePermitted(service, Optional.of(ticket));
    submit(exchange, customer, service, Optional.of(ticket), null);
  }

  private void handleBody(HttpExchange exchange, @Nullable Throwable failure, Runnable action) {
    try {
      if (failure instanceof HttpException httpFailure) {
        throw httpFailure;
      }
      if (failure == null) {
        action.run();
      }
    } catch (RuntimeException e) {
      sendFailure(exchange, e);
    }
  }

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
                handleErrors(
                    exchange,
                    () -> {
                      RequestTicket requestTicket =
                          ticket.orElseGet(() -> ownTicket(customer, service));
                      int rank = context.configuration().get().tierRank(service);
                      RequestIdentity request =
                          new RequestIdentity(
                              requestTicket.id(), requestTicket.ticket(), customer, service, rank);
                      deliver(exchange, request, payload);
                    }));
  }

  private void deliver(HttpExchange exchange, RequestIdentity request, @Nullable Payload payload) {
    long afterChunk = lastEventId(exchange);
    boolean wantsStream =
        payload == null ? exchange.path().endsWith(STREAM_SUFFIX) : payload.wantsStream();
    boolean shouldRenewTicket = !ticketIssuer.isChainAvailable(request.ticket());
    Optional<ResponseWriter> writer =
        entry.submit(
            request,
            payload,
            session ->
                new ResponseWriter(
                    exchange,
                    session.buffer(),
                    request.idText(),
                    afterChunk,
                    wantsStream,
                    shouldRenewTicket));
    if (writer.isEmpty()) {
      EntryService.tableFull(executionStatusOf(exchange)).send(exchange);
      return;
    }
    exchange
        .disconnected()
        .thenRun(
            () -> context.loop().execute(() -> entry.onCallerDisconnected(request, writer.get())));
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
    Ticket ticket = ticketIssuer.ownTicket(customer, service);
    RequestId id = new RequestId(context.tickets().encode(ticket), 0);
    return new RequestTicket(id, ticket);
  }
}
