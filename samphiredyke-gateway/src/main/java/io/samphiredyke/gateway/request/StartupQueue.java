package io.samphiredyke.gateway.request;

import io.samphiredyke.gateway.frontend.CallerRequest;
import io.samphiredyke.gateway.frontend.RequestHandler;
import io.samphiredyke.net.control.ControlEventLoop;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import org.jspecify.annotations.Nullable;

/**
 * Queues the first requests of a process until the configuration and the endpoints are known.
 *
 * <p>After a restart, callers reconnect some hundred milliseconds before the store has responded,
 * and a refusal would cost them one of their few attempts. Requests that wait for too long are
 * handled anyway, which refuses them without running them if there is still no configuration.
 */
public final class StartupQueue implements RequestHandler {

  /** Maximum wait for the first responses of the store, which usually take a few milliseconds. */
  private static final Duration MAX_WAIT = Duration.ofMillis(400);

  /** Queue capacity; a host receives some dozens of requests per second. */
  private static final int MAX_WAITING = 256;

  private final ControlEventLoop loop;
  private final RequestHandler handler;
  private final Deque<QueuedRequest> queued = new ArrayDeque<>();
  private boolean open;

  /** Creates a queue in front of a handler. */
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

  /** Dispatches all queued requests; later ones go directly to the handler. */
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
    public void onDisconnected() {
      Observer current = observer;
      if (current != null) {
        current.onDisconnected();
      } else if (queued.remove(this)) {
        request.body().release();
      }
    }

    @Override
    public boolean isWaiting() {
      Observer current = observer;
      return current == null ? queued.contains(this) : current.isWaiting();
    }

    @Override
    public void refuse(String reason, long retryAfterMillis) {
      Observer current = observer;
      if (current != null) {
        current.refuse(reason, retryAfterMillis);
      } else if (queued.remove(this)) {
        // Without a configuration, which it waits for, the request is refused as not run.
        dispatch();
      }
    }

    @Override
    public void onWritable() {
      Observer current = observer;
      if (current != null) {
        current.onWritable();
      }
    }
  }
}
