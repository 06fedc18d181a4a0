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
  private static final Duration MAX_WAIT = Duration.ofMillis(400);

  /** Requests that may wait; a host gets some dozens a second. */
  private static final int MAX_WAITING = 256;

  private final ControlEventLoop loop;
  private final RequestHandler handler;
  private final Deque<QueuedRequest> queued = new ArrayDeque<>();
  private boolean open;

  /** Creates a closed gate before a handler. */
  public StartupQueue(ControlEventLoop loop, RequestHandler handler) {
    this.loop = loop;
    this.handler = handler;
  }

  @Override
  public Observer handle(CallerRequest request) {
    if (open || queued.size() >= MAX_WAITING) {
      return handler.handle(request);
    }
    QueuedRequest entry = new QueuedRequest(request);
    queued.add(entry);
    loop.schedule(() -> dispatch(entry), MAX_WAIT);
    return entry;
  }

  private void dispatch(QueuedRequest entry) {
    if (queued.remove(entry)) {
      entry.dispatch();
    }
  }

  /** Lets all requests through from now on. */
  public void open() {
    open = true;
    while (!queued.isEmpty()) {
      queued.poll().dispatch();
    }
  }

  private final class QueuedRequest implements Observer {

    private final CallerRequest request;
    private @Nullable Observer observer;

    QueuedRequest(CallerRequest request) {
      this.request = request;
    }

    void dispatch() {
      observer = handler.handle(request);
    }

    @Override
    public void callerGone() {
      Observer told = observer;
      if (told != null) {
        told.callerGone();
      } else if (queued.remove(this)) {
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
