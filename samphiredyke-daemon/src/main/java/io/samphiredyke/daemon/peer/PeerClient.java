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

/** Sends requests to hosts, the local one included, and delivers replies on the control loop. */
public final class PeerClient {

  private final HostIdentity self;
  private final PeerIdentity identity;
  private final PeerTransport transport;
  private final PeerHandler local;
  private final ControlEventLoop loop;

  /**
   * Creates a client.
   *
   * @param local handles the requests of this process to itself, without the network
   */
  public PeerClient(
      HostIdentity self,
      PeerIdentity identity,
      PeerTransport transport,
      PeerHandler local,
      ControlEventLoop loop) {
    this.self = self;
    this.identity = identity;
    this.transport = transport;
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
            ? requestLocally(message)
            : transport.request(SocketAddresses.parse(address), incarnation, message, timeout);
    loop.whenDone(reply, onReply, onFailure);
  }

  /** Sends a request until it is answered or the attempts are used up. The reply is ignored. */
  public void requestWithRetries(
      String address, String incarnation, PeerMessage message, Duration timeout, int attempts) {
    request(
        address,
        incarnation,
        message,
        timeout,
        reply -> {},
        failure -> {
          if (attempts > 1) {
            requestWithRetries(address, incarnation, message, timeout, attempts - 1);
          }
        });
  }

  private CompletableFuture<PeerMessage> requestLocally(PeerMessage message) {
    CompletableFuture<PeerMessage> reply = new CompletableFuture<>();
    loop.execute(() -> local.handle(identity, message, reply::complete));
    return reply;
  }

  private boolean isSelf(String incarnation) {
    return self.incarnation().toString().equals(incarnation);
  }
}
