package io.samphiredyke.client.internal;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import io.samphiredyke.client.AttemptCounts;
import io.samphiredyke.client.ClientOptions;
import io.samphiredyke.client.DeadlineExceededException;
import io.samphiredyke.client.ExecutionStatus;
import io.samphiredyke.client.NotExecutedException;
import io.samphiredyke.client.OutcomeUnknownException;
import io.samphiredyke.client.Response;
import io.samphiredyke.client.ResponseListener;
import io.samphiredyke.client.ResponseUnavailableException;
import io.samphiredyke.net.http.HttpRequest;
import io.samphiredyke.net.http.HttpStream;
import io.samphiredyke.net.sse.SseEvent;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * One request from its first id to its outcome. All state is touched on one event loop.
 *
 * <p>A request id is repeated until the system states its outcome. A new id is taken only after the
 * old one was answered "not run", or if no connection was ever established under it.
 */
public final class RequestRun {

  private static final int MAX_REDIRECTS_AT_ONCE = 3;

  private final Client client;
  private final Call call;
  private final ResponseListener listener;
  private final EventLoop loop;
  private final CompletableFuture<Response> result = new CompletableFuture<>();
  private final long deadlineNanos;
  private @Nullable Future<?> deadlineTask;
  private @Nullable Lease lease;
  private Route route = new Route(List.of());
  private Reception reception;
  private String id = "";
  private int failures;
  private int redirects;
  private int ids;
  private int connections;
  private int connectionsOfId;
  private int unknowns;
  private long patienceEndNanos;
  private boolean maybeSent;
  private boolean sentBefore;
  private @Nullable HttpStream stream;
  private @Nullable ResponseReader reader;

  /** What the requests of a client share. */
  public record Client(
      Connections connections,
      AddressBook book,
      RetryBudget budget,
      ClientOptions options,
      String customerKey) {}

  /** Creates a request that runs on an event loop. */
  public RequestRun(Client client, Call call, ResponseListener listener, EventLoop loop) {
    this.client = client;
    this.call = call;
    this.listener = listener;
    this.loop = loop;
    this.reception = new Reception(listener);
    this.deadlineNanos = loop.ticker().nanoTime() + call.deadline().toNanos();
  }

  /** Starts the request. Cancelling the returned future closes the connection. */
  public CompletableFuture<Response> start() {
    client.budget().earn();
    result.whenComplete((answer, failure) -> loop.execute(this::stop));
    loop.execute(
        () -> {
          long left = deadlineNanos - loop.ticker().nanoTime();
          deadlineTask = loop.schedule(this::deadlinePassed, left, TimeUnit.NANOSECONDS);
          acquire();
        });
    return result;
  }

  private void acquire() {
    if (result.isDone()) {
      return;
    }
    client
        .book()
        .lease(call.service())
        .whenComplete((found, failure) -> loop.execute(() -> acquired(found, failure)));
  }

  private void acquired(@Nullable Lease found, @Nullable Throwable failure) {
    if (result.isDone()) {
      return;
    }
    if (found == null) {
      acquireFailed(failure);
      return;
    }
    lease = found;
    route = new Route(found.addresses());
    id = found.nextId();
    ids++;
    connectionsOfId = 0;
    unknowns = 0;
    maybeSent = false;
    reception = new Reception(listener);
    listener.onRequestId(id);
    connect();
  }

  private void acquireFailed(@Nullable Throwable failure) {
    if (failure instanceof NotExecutedException refused) {
      result.completeExceptionally(refused);
      return;
    }
    failures++;
    later(this::acquire, pauseNanos());
  }

  private void connect() {
    if (result.isDone()) {
      return;
    }
    HttpRequest.Builder request =
        HttpRequest.builder()
            .method("POST")
            .address(route.current())
            .path(call.path())
            .header("authorization", "Bearer " + client.customerKey())
            .header("idempotency-key", id)
            .body(call.body())
            .timeout(client.options().inactivityTimeout());
    call.headers().forEach(request::header);
    if (reception.lastOffset() > 0) {
      request.header("last-event-id", Long.toString(reception.lastOffset()));
    }
    connections++;
    connectionsOfId++;
    Connections pool = client.connections();
    boolean first = connectionsOfId == 1;
    ResponseReader opened = new ResponseReader(loop, new Handler());
    sentBefore = maybeSent;
    maybeSent = true;
    reader = opened;
    stream = (first ? pool.kept() : pool.fresh()).open(request.build(), opened);
  }

  /** Follows one response. */
  private final class Handler implements ResponseReader.Handler {

    @Override
    public void event(SseEvent event, ResponseReader.Head head) {
      RequestRun.this.event(event, head);
    }

    @Override
    public void whole(ResponseReader.Head head, byte[] body) {
      judge(head, body);
    }

    @Override
    public void cut() {
      RequestRun.this.cut();
    }

    @Override
    public void connectFailed() {
      maybeSent = sentBefore;
      RequestRun.this.connectFailed();
    }
  }

  private void event(SseEvent event, ResponseReader.Head head) {
    renewTicket(head);
    Reception.Result taken = reception.accept(event);
    if (taken != Reception.Result.ACCEPTED) {
      refused(event, head, taken);
      return;
    }
    failures = 0;
    route.progress();
    if (reception.isWhole()) {
      succeed(head.status(), reception.text());
    }
  }

  /** A stream may end with a problem document in place of a chunk, with or without an offset. */
  private void refused(SseEvent event, ResponseReader.Head head, Reception.Result taken) {
    Problem problem = Problem.parseEvent(event.data());
    if (problem.ran() != null) {
      judgeProblem(head, problem);
      return;
    }
    if (taken == Reception.Result.REFUSED) {
      cut();
    }
  }

  private void connectFailed() {
    forgetLease();
    boolean wasLast = route.isLast();
    route.next();
    failures++;
    if (wasLast && !maybeSent) {
      later(this::acquire, pauseNanos());
      return;
    }
    later(this::connect, wasLast ? pauseNanos() : 0);
  }

  /** Resumes the request on a fresh connection, after one that ended early or went silent. */
  private void cut() {
    askAgain(0);
  }

  private void askAgain(long leastPauseNanos) {
    closeStream();
    failures++;
    if (route.cut()) {
      forgetLease();
      route.next();
    }
    later(this::connect, Math.max(pauseNanos(), leastPauseNanos));
  }

  /** Lets the next request ask for a new ticket; this one goes on under the old. */
  private void renewTicket(ResponseReader.Head head) {
    if (lease != null && head.renewsTicket()) {
      client.book().invalidate(call.service(), lease);
    }
  }

  private void forgetLease() {
    if (lease != null && route.isFirst()) {
      client.book().invalidate(call.service(), lease);
    }
  }

  private void judge(ResponseReader.Head head, byte[] body) {
    renewTicket(head);
    Problem problem = head.isProblem() ? Problem.parse(body) : Problem.NONE;
    Verdict verdict = Verdict.of(call.kind(), head.status(), problem.ran(), head.hasRetryAfter());
    if (verdict == Verdict.ANSWER) {
      answer(head, body);
      return;
    }
    act(verdict, head, problem);
  }

  private void judgeProblem(ResponseReader.Head head, Problem problem) {
    Verdict verdict =
        Verdict.of(call.kind(), problem.status(), problem.ran(), head.hasRetryAfter());
    act(verdict == Verdict.ANSWER ? Verdict.ASK_AGAIN : verdict, head, problem);
  }

  private void act(Verdict verdict, ResponseReader.Head head, Problem problem) {
    boolean contradicts = reception.lastOffset() > 0;
    int status = head.isEventStream() ? problem.status() : head.status();
    switch (verdict) {
      case RETRY_AS_NEW, REFUSED -> {
        if (contradicts) {
          unknown(status, "\"not run\" after a part of the answer");
          return;
        }
        notRun(verdict, status, head, problem);
      }
      case REDIRECTED -> redirect(problem);
      case UNKNOWN -> undecided(status, problem.message());
      case FAILED ->
          result.completeExceptionally(
              new ResponseUnavailableException(id, status, problem.message()));
      default -> askAgain(head.retryAfterNanos());
    }
  }

  private void notRun(Verdict verdict, int status, ResponseReader.Head head, Problem problem) {
    closeStream();
    listener.onNotExecuted(id);
    maybeSent = false;
    failures++;
    long pause = Math.max(pauseNanos(), head.retryAfterNanos());
    boolean late = deadlineNanos - loop.ticker().nanoTime() <= pause;
    if (verdict == Verdict.REFUSED || late || !client.budget().trySpend()) {
      result.completeExceptionally(new NotExecutedException(id, status, problem.message()));
      return;
    }
    if (lease != null) {
      client.book().invalidate(call.service(), lease);
    }
    later(this::acquire, pause);
  }

  private void redirect(Problem problem) {
    closeStream();
    forgetLease();
    redirects++;
    List<InetSocketAddress> others = problem.parsedAddresses();
    if (others.isEmpty()) {
      route.next();
    } else {
      route = new Route(others);
    }
    later(this::connect, redirects > MAX_REDIRECTS_AT_ONCE ? pauseNanos() : 0);
  }

  private void answer(ResponseReader.Head head, byte[] body) {
    switch (call.kind()) {
      case PLAIN -> succeed(head.status(), new String(body, StandardCharsets.UTF_8));
      case COMPLETION -> {
        String text = Reception.completionText(body);
        if (text == null) {
          cut();
          return;
        }
        succeed(head.status(), text);
      }
      default -> cut();
    }
  }

  private void succeed(int status, String text) {
    result.complete(new Response(id, status, text, new AttemptCounts(ids, connections)));
  }

  /** Asks again for a while, under the same id, as a host that comes back may decide it. */
  private void undecided(int status, String message) {
    long now = loop.ticker().nanoTime();
    if (unknowns == 0) {
      patienceEndNanos = now + client.options().unknownOutcomeTimeout().toNanos();
    }
    unknowns++;
    if (lease != null) {
      client.book().invalidate(call.service(), lease);
    }
    if (now - patienceEndNanos < 0) {
      askAgain(0);
      return;
    }
    unknown(status, message);
  }

  private void unknown(int status, String message) {
    result.completeExceptionally(new OutcomeUnknownException(id, status, message));
  }

  private void deadlinePassed() {
    HttpStream open = stream;
    // A connection that is still being made when the deadline passes carries nothing any more.
    boolean unsent = open != null && open.close() && !sentBefore;
    ExecutionStatus ran =
        maybeSent && !unsent ? ExecutionStatus.UNKNOWN : ExecutionStatus.NOT_EXECUTED;
    String message = "no outcome within " + call.deadline();
    result.completeExceptionally(new DeadlineExceededException(id, ran, message));
  }

  private long pauseNanos() {
    return client.options().backoff().delayNanos(failures, ThreadLocalRandom.current());
  }

  private void later(Runnable step, long pauseNanos) {
    if (pauseNanos <= 0) {
      step.run();
      return;
    }
    loop.schedule(step, pauseNanos, TimeUnit.NANOSECONDS);
  }

  private void closeStream() {
    if (reader != null) {
      reader.abandon();
      reader = null;
    }
    if (stream != null) {
      stream.close();
      stream = null;
    }
  }

  private void stop() {
    if (deadlineTask != null) {
      deadlineTask.cancel(false);
    }
    if (reader != null) {
      reader.abandon();
    }
    if (result.isCompletedExceptionally()) {
      closeStream();
    }
  }
}
