package io.samphiredyke.gateway.request;

import io.samphiredyke.gateway.frontend.CallerRequest;
import io.samphiredyke.gateway.frontend.RequestHandler;
import io.samphiredyke.net.control.ControlEventLoop;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import org.jspecify.annotations.Nullable;

/**
 * Holds the first requests of a process until it knows configuration and endpoints.
 *
 * <p>After a restart callers are back some hundred milliseconds before the store has answered; a
 * refusal would cost them one of their few tries. What is not known in time is refused as unrun.
 */
public final class StartupQueue implements RequestHandler {

  /** How long requests wait for the first answers of the store; these take a few milliseconds. */
  private static final Duration LONGEST_WAIT = Duration.ofMillis(400);

  /** Requests that may wait; a host gets some dozens a second. */
  private static final int MAX_WAITING = 256;

  private final ControlEventLoop loop;
  private final RequestHandler handler;
  private final Deque<Waiting> waiting = new ArrayDeque<>();
  private boolean open;

  /** Creates a closed gate before a handler. */
  public StartupQueue(ControlEventLoop loop, RequestHandler handler) {
    this.loop = loop;
    this.handler = handler;
  }

  @Override
  public Observer serve(CallerRequest request) {
    if (open || waiting.size() >= MAX_WAITING) {
      return handler.serve(request);
    }
    Waiting entry = new Waiting(request);
    waiting.add(entry);
    loop.schedule(() -> pass(entry), LONGEST_WAIT);
    return entry;
  }

  private void pass(Waiting entry) {
    if (waiting.remove(entry)) {
      entry.pass();
    }
  }

  /** Lets all requests through from now on. */
  public void open() {
    open = true;
    while (!waiting.isEmpty()) {
      waiting.poll().pass();
    }
  }

  private final class Waiting implements Observer {

    private final CallerRequest request;
    private @Nullable Observer observer;

    Waiting(CallerRequest request) {
      this.request = request;
    }

    void pass() {
      observer = handler.serve(request);
    }

    @Override
    public void callerGone() {
      Observer told = observer;
      if (told != null) {
        told.callerGone();
      } else if (waiting.remove(this)) {
        request.body().release();
      }
    }

    @Override
    public void writable() {
      Observer told = observer;
      if (told != null) {
        told.writable();
      }
    }
  }
}
