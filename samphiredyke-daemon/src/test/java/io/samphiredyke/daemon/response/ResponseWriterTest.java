package io.samphiredyke.daemon.response;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.DefaultEventLoop;
import io.netty.channel.EventLoop;
import io.samphiredyke.daemon.response.Problem.ExecutionStatus;
import io.samphiredyke.net.http.HttpExchange;
import io.samphiredyke.net.http.ResponseStream;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests which response a caller gets when several events precede the writer's next turn. */
class ResponseWriterTest {

  private static final long MAX_BYTES = 1_000;

  private final EventLoop loop = new DefaultEventLoop();
  private final CountDownLatch busy = new CountDownLatch(1);
  private final RecordingExchange exchange = new RecordingExchange(loop);
  private final ResponseBuffer buffer = new ResponseBuffer(new MemoryBudget(MAX_BYTES), MAX_BYTES);

  @AfterEach
  void stop() {
    loop.shutdownGracefully(0, 1, java.util.concurrent.TimeUnit.SECONDS);
  }

  /** Guards against a response of 503 to a request that failed before its chunks were dropped. */
  @Test
  void sendsTheProblemIfTheChunksAreDroppedAfterTheFailure() {
    loop.execute(() -> awaitQuietly(busy));
    buffer.head(new ResponseHead(200, "text/event-stream", true));
    ResponseWriter writer = new ResponseWriter(exchange, buffer, "id", 0, false, false);
    writer.start();
    writer.fail(Problem.of(502, "too long", "", ExecutionStatus.EXECUTED));
    buffer.drop();
    busy.countDown();
    assertThat(exchange.status.join()).isEqualTo(502);
  }

  @Test
  void asksTheCallerToResumeIfTheChunksAreDropped() {
    loop.execute(() -> awaitQuietly(busy));
    buffer.head(new ResponseHead(200, "text/event-stream", true));
    new ResponseWriter(exchange, buffer, "id", 0, false, false).start();
    buffer.drop();
    busy.countDown();
    assertThat(exchange.status.join()).isEqualTo(503);
  }

  private static void awaitQuietly(CountDownLatch latch) {
    try {
      latch.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static final class RecordingExchange implements HttpExchange {

    final CompletableFuture<Integer> status = new CompletableFuture<>();
    private final EventLoop loop;

    RecordingExchange(EventLoop loop) {
      this.loop = loop;
    }

    @Override
    public String method() {
      return "POST";
    }

    @Override
    public String path() {
      return "/";
    }

    @Override
    public Map<String, String> query() {
      return Map.of();
    }

    @Override
    public @Nullable String header(String name) {
      return null;
    }

    @Override
    public EventLoop eventLoop() {
      return loop;
    }

    @Override
    public CompletableFuture<byte[]> body() {
      return CompletableFuture.completedFuture(new byte[0]);
    }

    @Override
    public void respond(int responseStatus, Map<String, String> headers, byte[] body) {
      status.complete(responseStatus);
    }

    @Override
    public ResponseStream startStream(int responseStatus, Map<String, String> headers) {
      throw new UnsupportedOperationException("the caller asked for a complete response");
    }

    @Override
    public CompletableFuture<Void> disconnected() {
      return new CompletableFuture<>();
    }

    @Override
    public long connectionNumber() {
      return 1;
    }

    @Override
    public void abort() {
      status.complete(0);
    }
  }
}
