package io.samphiredyke.daemon.peer;

import io.samphiredyke.daemon.host.HostIdentity;
import io.samphiredyke.net.control.ControlEventLoop;
import io.samphiredyke.net.control.SocketAddresses;
import io.samphiredyke.net.peer.PeerHandler;
import io.samphiredyke.net.peer.PeerIdentity;
import io.samphiredyke.net.peer.PeerTransport;
import io.samphiredyke.schema.message.PeerMessage;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

/**
 * Sends requests to processes, this one included, and hands the replies over on the control loop.
 */
public final class PeerClient {

  private final HostIdentity self;
  private final PeerIdentity identity;
  private final PeerTransport node;
  private final PeerHandler local;
  private final ControlEventLoop loop;

  /**
   * Creates a client.
   *
   * @param local handles the requests that this process sends to itself
   */
  public PeerClient(
      HostIdentity self,
      PeerIdentity identity,
      PeerTransport node,
      PeerHandler local,
      ControlEventLoop loop) {
    this.self = self;
    this.identity = identity;
    this.node = node;
    this.local = local;
    this.loop = loop;
  }

  /**
   * Sends a request to one incarnation of a process.
   *
   * @param address the process's peer address, {@code ip:port}
   * @param incarnation the incarnation, in hexadecimal
   * @param onReply receives the reply on the control loop
   * @param onFailure receives the failure on the control loop
   */
  public void request(
      String address,
      String incarnation,
      PeerMessage message,
      Duration timeout,
      Consumer<PeerMessage> onReply,
      Consumer<Throwable> onFailure) {
    CompletableFuture<PeerMessage> reply =
        isSelf(incarnation)
            ? ask(message)
            : node.request(SocketAddresses.parse(address), incarnation, message, timeout);
    loop.whenDone(reply, onReply, onFailure);
  }

  /** Sends a request several times until it is answered or the attempts are used up. */
  public void deliver(
      String address, String incarnation, PeerMessage message, Duration timeout, int attempts) {
    request(
        address,
        incarnation,
        message,
        timeout,
        reply -> {},
        failure -> {
          if (attempts > 1) {
            deliver(address, incarnation, message, timeout, attempts - 1);
          }
        });
  }

  private CompletableFuture<PeerMessage> ask(PeerMessage message) {
    CompletableFuture<PeerMessage> reply = new CompletableFuture<>();
    loop.execute(() -> local.handle(identity, message, reply::complete));
    return reply;
  }

  private boolean isSelf(String incarnation) {
    return self.incarnation().toString().equals(incarnation);
  }
}
