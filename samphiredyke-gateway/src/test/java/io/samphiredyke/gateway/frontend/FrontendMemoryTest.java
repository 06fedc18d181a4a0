package io.samphiredyke.gateway.frontend;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.samphiredyke.core.serving.CallerLimits;
import io.samphiredyke.gateway.log.DecisionLog;
import io.samphiredyke.net.http.ClientMemory;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The memory that callers' requests hold is returned on each path, and who gives way. */
@Timeout(30)
class FrontendMemoryTest implements RequestHandler {

  private static final int LIMIT = 400_000;
  private static final int TIMEOUT_MILLIS = 300;
  private static final int MAX_WAIT_MILLIS = 10_000;
  private static final String POST = "POST /x HTTP/1.1\r\nX-Samphiredyke-Request-Id: ";
  private static final String LINES = "a:\r\n".repeat(500);

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventLoop loop = group.next();
  private final List<WaitingRequest> requests = new ArrayList<>();
  private final List<Socket> callers = new ArrayList<>();
  private final ByteArrayOutputStream log = new ByteArrayOutputStream();
  private final ClientMemory memory = new ClientMemory(LIMIT, (name, bytes, used) -> {});
  private final FrontendServer server =
      new FrontendServer(
          loop,
          this,
          () -> new CallerLimits(16_384, 200_000, TIMEOUT_MILLIS, TIMEOUT_MILLIS),
          memory,
          100,
          new DecisionLog(log, () -> 0));
  private InetSocketAddress address;
  private boolean answersAtOnce;
  private boolean handledUnwritable;

  /** A request that waits until it is answered, refused or left. */
  private static final class WaitingRequest implements Observer {
    private final CallerRequest request;
    private boolean isRunning;
    private boolean hasEnded;

    WaitingRequest(CallerRequest request) {
      this.request = request;
    }

    void end(int status) {
      if (!hasEnded) {
        onDisconnected();
        request.writer().send(status, new DefaultHttpHeaders(false), Unpooled.EMPTY_BUFFER);
      }
    }

    @Override
    public void onDisconnected() {
      hasEnded = true;
      request.body().release();
    }

    @Override
    public void onWritable() {}

    @Override
    public boolean isWaiting() {
      return !hasEnded && !isRunning;
    }

    @Override
    public void refuse(String reason, long retryAfterMillis) {
      end(503);
    }
  }

  @BeforeEach
  void startServer() throws IOException {
    try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      address = new InetSocketAddress(free.getInetAddress(), free.getLocalPort());
    }
    server.start(address).join();
  }

  @AfterEach
  void stop() throws IOException {
    for (Socket caller : callers) {
      caller.close();
    }
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  @Override
  public Observer handle(CallerRequest request) {
    WaitingRequest waiting = new WaitingRequest(request);
    if (answersAtOnce) {
      handledUnwritable |= !request.writer().isWritable();
      request.writer().send(200, new DefaultHttpHeaders(), Unpooled.wrappedBuffer(new byte[1_000]));
    } else {
      requests.add(waiting);
    }
    return waiting;
  }

  private Socket send(String text) throws IOException {
    Socket caller = new Socket(address.getAddress(), address.getPort());
    caller.setSoTimeout(MAX_WAIT_MILLIS);
    callers.add(caller);
    caller.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    return caller;
  }

  private void awaitUsed(boolean isUsed) throws Exception {
    while (loop.submit(() -> memory.used() > 0 != isUsed).get()) {
      Thread.sleep(2);
    }
  }

  /** Sends a text on a connection of its own and returns when something of it is held. */
  private Socket arrive(String text) throws Exception {
    Socket caller = send(text);
    awaitUsed(true);
    return caller;
  }

  private void awaitRequests(int count) throws Exception {
    while (loop.submit(() -> requests.size() < count).get()) {
      Thread.sleep(2);
    }
  }

  private static String post(String id, int bodyBytes) {
    return POST + id + "\r\nContent-Length: " + bodyBytes + "\r\n\r\n" + "x".repeat(bodyBytes);
  }

  private static String status(Socket caller) throws IOException {
    return new String(caller.getInputStream().readNBytes(12), StandardCharsets.US_ASCII);
  }

  /** Each text leaves a request, or a part of one, with which something is held. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "GET /x HTTP/1.1\r\nHost: ",
        "POST /x HTTP/1.1\r\nContent-Length: 9\r\n\r\nabc",
        "POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\na: b\r\n",
        "POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3;a=b",
        "POST /x HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc",
        "POST /x HTTP/1.1\r\nContent-Length: 3\r\n\r\nabcGET /y HTTP/1.1\r\n\r\nGET /z"
      })
  void memoryIsReturnedOnEachPath(String text) throws Exception {
    arrive(text).close();
    awaitUsed(false);
    Socket reset = arrive(text);
    reset.setSoLinger(true, 0);
    reset.close();
    awaitUsed(false);
    arrive(text);
    while (loop.submit(() -> memory.used() > 0).get()) {
      loop.submit(server::closeExpired).get();
      loop.submit(() -> List.copyOf(requests).forEach(request -> request.end(200))).get();
    }
    Socket stopped = arrive(text);
    loop.submit(server::drain).get();
    loop.submit(server::stopAccepting).get();
    loop.submit(() -> List.copyOf(requests).forEach(request -> request.end(503))).get();
    stopped.close();
    awaitUsed(false);
  }

  @Test
  void malformedRequestHoldsNothing() throws Exception {
    Socket caller = send("GET /x HTTP/1.1\r\nno colon\r\n" + LINES + "\r\nGET /y");
    assertThat(status(caller)).isEqualTo("HTTP/1.1 400");
    awaitUsed(false);
  }

  /** Guards against connections that are idle after a large request and count as full. */
  @Test
  void memoryIsReturnedWithTheResponseOnKeptConnections() throws Exception {
    Socket caller = send(post("first", 100_000));
    awaitRequests(1);
    loop.submit(() -> requests.get(0).end(200)).get();
    assertThat(status(caller)).isEqualTo("HTTP/1.1 200");
    assertThat(loop.submit(memory::used).get()).isZero();
  }

  /**
   * Guards against responses that are not read and kept without bound, and against a standstill.
   */
  @Test
  void nextRequestsWaitUntilResponsesAreTaken() throws Exception {
    answersAtOnce = true;
    Socket caller = send("");
    String requests = "GET /x HTTP/1.1\r\n\r\n".repeat(20_000);
    Thread sender =
        new Thread(
            () -> {
              try {
                caller.getOutputStream().write(requests.getBytes(StandardCharsets.US_ASCII));
                caller
                    .getOutputStream()
                    .write("GET /x HTTP/1.0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
              } catch (IOException e) {
                throw new UncheckedIOException(e);
              }
            });
    sender.start();
    while (!loop.submit(() -> server.busyConnections() > 0).get()) {
      Thread.sleep(2);
    }
    Thread.sleep(TIMEOUT_MILLIS);
    byte[] responses = caller.getInputStream().readAllBytes();
    assertThat(new String(responses, StandardCharsets.US_ASCII).split("HTTP/1.1 200", -1))
        .hasSize(20_002);
    assertThat(handledUnwritable).isFalse();
    awaitUsed(false);
  }

  /** Guards against a crowd of unfinished bodies that keeps ordinary requests out. */
  @Test
  void unfinishedBodiesGiveWayToOrdinaryRequests() throws Exception {
    List<Socket> crowd = new ArrayList<>();
    for (int i = 0; i < 8; i++) {
      crowd.add(send(post("c" + i, 100_000).replace(": 100000", ": 150000")));
    }
    Socket ordinary = send(post("ordinary", 100));
    awaitRequests(1);
    loop.submit(() -> requests.get(0).end(200)).get();
    assertThat(status(ordinary)).isEqualTo("HTTP/1.1 200");
    assertThat(loop.submit(memory::reclaimed).get()).isPositive();
    assertThat(loop.submit(memory::used).get()).isLessThanOrEqualTo(LIMIT);
  }

  /** Guards against requests that wait and keep ordinary ones out, and against false refusals. */
  @Test
  void waitingRequestsAreRefusedBeforeRunningOnes() throws Exception {
    Socket running = send(post("running", 150_000));
    awaitRequests(1);
    loop.submit(() -> requests.get(0).isRunning = true).get();
    Socket waiting = send(post("waiting", 100_000));
    awaitRequests(2);
    send(post("next", 60_000));
    assertThat(status(waiting)).isEqualTo("HTTP/1.1 503");
    awaitRequests(3);
    send(post("last", 20_000));
    awaitRequests(4);
    loop.submit(() -> requests.get(0).end(200)).get();
    assertThat(status(running)).isEqualTo("HTTP/1.1 200");
    assertThat(requests).filteredOn(request -> !request.hasEnded).hasSize(2);
    assertThat(loop.submit(memory::reclaimed).get()).isOne();
  }
}
