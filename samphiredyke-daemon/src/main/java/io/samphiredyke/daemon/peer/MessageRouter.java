package io.samphiredyke.daemon.peer;

import io.samphiredyke.core.invariant.InvariantViolationException;
import io.samphiredyke.net.control.ControlEventLoop;
import io.samphiredyke.net.peer.PeerHandler;
import io.samphiredyke.net.peer.PeerIdentity;
import io.samphiredyke.schema.message.PeerMessage;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

/** Routes peer messages by type to their handlers and runs these on the control loop. */
public final class MessageRouter implements PeerHandler {

  /** Handler of messages of one type. */
  @FunctionalInterface
  public interface Route<M extends PeerMessage> {

    /** Handles a message and replies to it at most once. */
    void handle(PeerIdentity from, M message, Consumer<PeerMessage> reply);
  }

  private final ControlEventLoop loop;
  private final Runnable onMalformed;
  private final Map<Class<?>, Route<PeerMessage>> routes = new HashMap<>();

  /**
   * Creates a router without routes.
   *
   * @param onMalformed called for each message that its handler rejected with an exception
   */
  public MessageRouter(ControlEventLoop loop, Runnable onMalformed) {
    this.loop = loop;
    this.onMalformed = onMalformed;
  }

  /** Adds the handler of a message type. All routes must be added before the first message. */
  public <M extends PeerMessage> void addRoute(Class<M> type, Route<M> route) {
    routes.put(type, (from, message, reply) -> route.handle(from, type.cast(message), reply));
  }

  @Override
  public void handle(PeerIdentity from, PeerMessage message, Consumer<PeerMessage> reply) {
    Route<PeerMessage> route = routes.get(message.getClass());
    if (route != null) {
      loop.execute(() -> invoke(route, from, message, reply));
    }
  }

  /** Invokes a handler. An exception other than an invariant violation drops only this message. */
  private void invoke(
      Route<PeerMessage> route,
      PeerIdentity from,
      PeerMessage message,
      Consumer<PeerMessage> reply) {
    try {
      route.handle(from, message, reply);
    } catch (InvariantViolationException e) {
      throw e;
    } catch (RuntimeException e) {
      onMalformed.run();
    }
  }
}
