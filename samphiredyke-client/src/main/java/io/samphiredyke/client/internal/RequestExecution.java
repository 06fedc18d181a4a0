package io.samphiredyke.client.internal;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import io.samphiredyke.client.AttemptCounts;
import io.samphiredyke.client.DeadlineExceededException;
import io.samphiredyke.client.ExecutionStatus;
import io.samphiredyke.client.NotExecutedException;
import io.samphiredyke.client.OutcomeUnknownException;
import io.samphiredyke.client.Response;
import io.samphiredyke.client.ResponseListener;
import io.samphiredyke.client.ResponseUnavailableException;
import io.samphiredyke.net.http.HttpRequest;
import io.samphiredyke.net.http.HttpStream;
import io.samphiredyke.net.http.WholeResponseCheck;
import io.samphiredyke.net.sse.SseEvent;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * The execution of one request from its first id to its outcome, confined to one event loop. A
 * request is retried with the same id until a host reports its outcome. A new id is used only after
 * a response that the request was not executed, or if no connection was established.
 */
public final class RequestExecution {

  private static final int MAX_IMMEDIATE_REDIRECTS = 3; // later ones are followed with back-off

  private final ClientContext context;
  private final EncodedRequest request;
  private final ResponseListener listener;
  private final EventLoop loop;
  private final CompletableFuture<Response> result = new CompletableFuture<>();
  private final long deadlineNanos;
  private @Nullable Future<?> deadlineTask;
  private @Nullable TicketLease lease;
  private AddressRotation addresses;
  private StreamAssembler assembler;
  private WholeResponseCheck wholeResponseCheck = new WholeResponseCheck();
  private String requestId = "";
  private int failures;
  private int redirects;
  private int idsUsed;
  private int connections;
  private int connectionsForId;
  private int unknownOutcomes;
  private long unknownOutcomeDeadlineNanos;
  private boolean mayHaveBeenSent;
  private boolean mayHaveBeenSentBefore;
  private @Nullable HttpStream stream;
  private @Nullable ResponseReader reader;

  /** Creates the execution of a request on an event loop. */
  public RequestExecution(
      ClientContext context, EncodedRequest request, ResponseListener listener, EventLoop loop) {
    this.context = context;
    this.request = request;
    this.listener = listener;
    this.loop = loop;
    this.assembler = new StreamAssembler(listener);
    this.addresses = AddressRotation.forNewId(List.of(), context.leaseCache().silentHosts());
    this.deadlineNanos = loop.ticker().nanoTime() + request.deadline().toNanos();
  }

  /** Starts the request. Cancelling the returned future closes the connection. */
  public CompletableFuture<Response> start() {
    context.retryBudget().deposit();
    result.whenComplete((response, failure) -> loop.execute(this::cleanUp));
    loop.execute(
        () -> {
          long remaining = deadlineNanos - loop.ticker().nanoTime();
          deadlineTask = loop.schedule(this::onDeadline, remaining, TimeUnit.NANOSECONDS);
          acquireLease();
        });
    return result;
  }

  private void acquireLease() {
    if (result.isDone()) {
      return;
    }
    context
        .leaseCache()
        .lease(request.service())
        .whenComplete((found, failure) -> loop.execute(() -> onLease(found, failure)));
  }

  private void onLease(@Nullable TicketLease found, @Nullable Throwable failure) {
    if (result.isDone()) {
      return;
    }
    if (found == null) {
      onLeaseFailed(failure);
      return;
    }
    lease = found;
    addresses = AddressRotation.forNewId(found.addresses(), context.leaseCache().silentHosts());
    requestId = found.nextId();
    idsUsed++;
    connectionsForId = 0;
    unknownOutcomes = 0;
    mayHaveBeenSent = false;
    assembler = new StreamAssembler(listener);
    wholeResponseCheck = new WholeResponseCheck();
    listener.onRequestId(requestId);
    connect();
  }

  private void onLeaseFailed(@Nullable Throwable failure) {
    if (failure instanceof NotExecutedException rejection) {
      result.completeExceptionally(rejection);
      return;
    }
    failures++;
    schedule(this::acquireLease, backoffNanos());
  }

  private void connect() {
    if (result.isDone()) {
      return;
    }
    HttpRequest.Builder builder =
        HttpRequest.builder()
            .method("POST")
            .address(addresses.current())
            .path(request.path())
            .header("authorization", "Bearer " + context.customerKey())
            .header("idempotency-key", requestId)
            .body(request.body())
            .requireFraming()
            .timeout(context.options().inactivityTimeout());
    request.headers().forEach(builder::header);
    if (assembler.lastOffset() > 0) {
      builder.header("last-event-id", Long.toString(assembler.lastOffset()));
    }
    connections++;
    connectionsForId++;
    ConnectionPools pools = context.connectionPools();
    boolean firstAttempt = connectionsForId == 1;
    ResponseReader newReader =
        new ResponseReader(loop, requestId, wholeResponseCheck, new Handler());
    mayHaveBeenSentBefore = mayHaveBeenSent;
    mayHaveBeenSent = true;
    reader = newReader;
    stream = (firstAttempt ? pools.pooled() : pools.unpooled()).open(builder.build(), newReader);
  }

  private final class Handler implements ResponseReader.Handler {

    @Override
    public void onEvent(SseEvent event, ResponseReader.Head head) {
      RequestExecution.this.onEvent(event, head);
    }

    @Override
    public void onResponse(ResponseReader.Head head, byte[] body) {
      RequestExecution.this.onResponse(head, body);
    }

    @Override
    public void onInterrupted() {
      RequestExecution.this.resume();
    }

    @Override
    public void onConnectFailed() {
      mayHaveBeenSent = mayHaveBeenSentBefore;
      RequestExecution.this.onConnectFailed();
    }
  }

  private void onEvent(SseEvent event, ResponseReader.Head head) {
    invalidateLeaseIfAsked(head);
    StreamAssembler.Result added = assembler.accept(event);
    if (added != StreamAssembler.Result.ACCEPTED) {
      onRejected(event, head, added);
      return;
    }
    failures = 0;
    addresses.recordProgress();
    if (assembler.isComplete()) {
      complete(head.status(), assembler.text());
    }
  }

  /** A stream can end with a problem document instead of a chunk, with or without an offset. */
  private void onRejected(SseEvent event, ResponseReader.Head head, StreamAssembler.Result added) {
    Problem problem = Problem.parseEvent(event.data());
    if (problem.executionStatus() != null) {
      onProblemEvent(head, problem);
      return;
    }
    if (added == StreamAssembler.Result.REJECTED) {
      resume();
    }
  }

  private void onConnectFailed() {
    invalidateLeaseOfFirstAddress();
    boolean wasLastAddress = addresses.isLast();
    addresses.advance();
    failures++;
    if (wasLastAddress && !mayHaveBeenSent) {
      schedule(this::acquireLease, backoffNanos());
      return;
    }
    schedule(this::connect, wasLastAddress ? backoffNanos() : 0);
  }

  /** Resumes the request on a new connection after an interruption or a timeout. */
  private void resume() {
    retryWithSameId(0);
  }

  private void retryWithSameId(long minDelayNanos) {
    closeStream();
    failures++;
    if (addresses.recordInterruption()) {
      invalidateLeaseOfFirstAddress();
      addresses.advance();
    }
    schedule(this::connect, Math.max(backoffNanos(), minDelayNanos));
  }

  /** Makes the next request fetch a new ticket; this request continues with the old one. */
  private void invalidateLeaseIfAsked(ResponseReader.Head head) {
    if (lease != null && head.asksForNewTicket()) {
      context.leaseCache().invalidate(request.service(), lease);
    }
  }

  private void invalidateLeaseOfFirstAddress() {
    if (lease != null && addresses.isFirst()) {
      context.leaseCache().invalidate(request.service(), lease);
    }
  }

  private void onResponse(ResponseReader.Head head, byte[] body) {
    invalidateLeaseIfAsked(head);
    Problem problem = head.isProblem() ? Problem.parse(body) : Problem.NONE;
    Outcome outcome =
        Outcome.of(request.kind(), head.status(), problem.executionStatus(), head.hasRetryAfter());
    addresses.recordResponse(outcome.isDecided());
    if (outcome == Outcome.RESPONSE) {
      completeFromBody(head, body);
      return;
    }
    apply(outcome, head, problem);
  }

  private void onProblemEvent(ResponseReader.Head head, Problem problem) {
    Outcome outcome =
        Outcome.of(
            request.kind(), problem.status(), problem.executionStatus(), head.hasRetryAfter());
    addresses.recordResponse(outcome.isDecided());
    apply(outcome == Outcome.RESPONSE ? Outcome.RETRY_WITH_SAME_ID : outcome, head, problem);
  }

  private void apply(Outcome outcome, ResponseReader.Head head, Problem problem) {
    boolean partReceived = assembler.lastOffset() > 0;
    int status = head.isEventStream() ? problem.status() : head.status();
    switch (outcome) {
      case RETRY_WITH_NEW_ID, REJECTED -> {
        if (partReceived) {
          failWithUnknownOutcome(status, "reported as not executed after a part of the response");
          return;
        }
        notExecuted(outcome, status, head, problem);
      }
      case REDIRECTED -> redirect(problem);
      case UNKNOWN -> onUnknownOutcome(status, problem.message());
      case FAILED ->
          result.completeExceptionally(
              new ResponseUnavailableException(requestId, status, problem.message()));
      default -> retryWithSameId(head.retryAfterNanos());
    }
  }

  private void notExecuted(Outcome outcome, int status, ResponseReader.Head head, Problem problem) {
    closeStream();
    listener.onNotExecuted(requestId);
    mayHaveBeenSent = false;
    failures++;
    long delayNanos = Math.max(backoffNanos(), head.retryAfterNanos());
    boolean deadlineWouldPass = deadlineNanos - loop.ticker().nanoTime() <= delayNanos;
    if (outcome == Outcome.REJECTED || deadlineWouldPass || !context.retryBudget().tryWithdraw()) {
      result.completeExceptionally(new NotExecutedException(requestId, status, problem.message()));
      return;
    }
    if (lease != null) {
      context.leaseCache().invalidate(request.service(), lease);
    }
    schedule(this::acquireLease, delayNanos);
  }

  private void redirect(Problem problem) {
    closeStream();
    invalidateLeaseOfFirstAddress();
    redirects++;
    List<InetSocketAddress> newAddresses = problem.parsedAddresses();
    if (newAddresses.isEmpty()) {
      addresses.advance();
    } else {
      addresses = addresses.redirectedTo(newAddresses);
    }
    schedule(this::connect, redirects > MAX_IMMEDIATE_REDIRECTS ? backoffNanos() : 0);
  }

  private void completeFromBody(ResponseReader.Head head, byte[] body) {
    switch (request.kind()) {
      case PLAIN -> complete(head.status(), new String(body, StandardCharsets.UTF_8));
      case COMPLETION -> {
        String text = StreamAssembler.completionText(body);
        if (text == null) {
          resume();
          return;
        }
        complete(head.status(), text);
      }
      default -> resume();
    }
  }

  private void complete(int status, String text) {
    result.complete(new Response(requestId, status, text, new AttemptCounts(idsUsed, connections)));
  }

  /** Retries with the same id until a timeout, because a returning host may know the outcome. */
  private void onUnknownOutcome(int status, String message) {
    long now = loop.ticker().nanoTime();
    if (unknownOutcomes == 0) {
      unknownOutcomeDeadlineNanos = now + context.options().unknownOutcomeTimeout().toNanos();
    }
    unknownOutcomes++;
    if (lease != null) {
      context.leaseCache().invalidate(request.service(), lease);
    }
    if (now - unknownOutcomeDeadlineNanos < 0) {
      retryWithSameId(0);
      return;
    }
    failWithUnknownOutcome(status, message);
  }

  private void failWithUnknownOutcome(int status, String message) {
    result.completeExceptionally(new OutcomeUnknownException(requestId, status, message));
  }

  private void onDeadline() {
    HttpStream current = stream;
    // A connection that is not established when the deadline passes will not send the request.
    boolean notSent = current != null && current.close() && !mayHaveBeenSentBefore;
    ExecutionStatus status =
        mayHaveBeenSent && !notSent ? ExecutionStatus.UNKNOWN : ExecutionStatus.NOT_EXECUTED;
    String message = "no outcome within " + request.deadline();
    result.completeExceptionally(new DeadlineExceededException(requestId, status, message));
  }

  private long backoffNanos() {
    return context.options().backoff().delayNanos(failures, ThreadLocalRandom.current());
  }

  private void schedule(Runnable action, long delayNanos) {
    if (delayNanos <= 0) {
      action.run();
      return;
    }
    loop.schedule(action, delayNanos, TimeUnit.NANOSECONDS);
  }

  private void closeStream() {
    if (reader != null) {
      reader.cancel();
      reader = null;
    }
    if (stream != null) {
      stream.close();
      stream = null;
    }
  }

  private void cleanUp() {
    if (deadlineTask != null) {
      deadlineTask.cancel(false);
    }
    if (reader != null) {
      reader.cancel();
    }
    if (result.isCompletedExceptionally()) {
      closeStream();
    }
  }
}
