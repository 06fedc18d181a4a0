package io.samphiredyke.standins.weights;

import io.samphiredyke.net.http.HttpExchange;
import io.samphiredyke.net.http.ResponseStream;
import io.samphiredyke.standins.server.AbstractStandIn;
import io.samphiredyke.standins.server.StandInRuntime;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Stand-in for the weight store, whose downloads share one rate limit. */
public final class WeightStandIn extends AbstractStandIn<WeightFaults> {

  private static final Pattern WEIGHTS = Pattern.compile("/v1/weights/([^/]+)/([^/]+)");
  private static final int CHUNK_BYTES = 64 * 1024;
  private static final double NANOS_PER_SECOND = 1e9;
  private static final int STATUS_OK = 200;
  private static final int STATUS_NOT_FOUND = 404;
  private static final int STATUS_UNAVAILABLE = 503;

  private final WeightSettings settings;
  private long linkFreeAt = Long.MIN_VALUE;
  private long downloads;
  private long finished;
  private long bytesSent;

  private WeightStandIn(StandInRuntime runtime, WeightSettings settings) {
    super(runtime, WeightFaults.class, WeightFaults.NONE);
    this.settings = settings;
  }

  private record Counts(long downloads, long finished, long bytesSent) {}

  /**
   * Starts a weight store stand-in.
   *
   * @param address the address to listen on; port 0 selects a free port
   * @return the stand-in; fails with {@link java.net.BindException} when the address is in use
   */
  public static CompletableFuture<WeightStandIn> start(
      StandInRuntime runtime, InetSocketAddress address, WeightSettings settings) {
    WeightStandIn store = new WeightStandIn(runtime, settings);
    return store.bind(address).thenApply(bound -> store);
  }

  @Override
  protected void serve(HttpExchange exchange) {
    Matcher path = WEIGHTS.matcher(exchange.path());
    if (!path.matches() || !exchange.method().equals("GET")) {
      respondNotFound(exchange);
      return;
    }
    if (faults().unavailable()) {
      respondError(exchange, STATUS_UNAVAILABLE, "unavailable", "the store is out of service");
      return;
    }
    long bytes = settings.bytesOf(path.group(1), path.group(2));
    if (bytes == 0) {
      respondError(exchange, STATUS_NOT_FOUND, "weights_not_found", "no " + exchange.path());
      return;
    }
    downloads++;
    new Download(exchange, bytes).scheduleChunk();
  }

  private long rate() {
    long override = faults().bytesPerSecond();
    return override > 0 ? override : settings.bytesPerSecond();
  }

  @Override
  protected Object counts(HttpExchange exchange) {
    return new Counts(downloads, finished, bytesSent);
  }

  /** One download; its chunks are interleaved with those of concurrent downloads. */
  private final class Download {

    private final ResponseStream stream;
    private long remaining;
    private long sent;
    private boolean closed;

    Download(HttpExchange exchange, long bytes) {
      this.stream = exchange.startStream(STATUS_OK, contentType("application/octet-stream"));
      this.remaining = bytes;
      exchange.disconnected().thenRun(() -> closed = true);
    }

    void scheduleChunk() {
      int bytes = (int) Math.min(remaining, CHUNK_BYTES);
      long start = Math.max(linkFreeAt, timers().now());
      linkFreeAt = start + Math.round(bytes * NANOS_PER_SECOND / rate());
      timers().scheduleAt(linkFreeAt, () -> stream.whenWritable(() -> send(bytes)));
    }

    private void send(int bytes) {
      long cutAfter = faults().cutAfterBytes();
      if (closed || (cutAfter > 0 && sent + bytes > cutAfter)) {
        stream.abort();
        return;
      }
      stream.write(new byte[bytes]);
      bytesSent += bytes;
      sent += bytes;
      remaining -= bytes;
      if (remaining > 0) {
        scheduleChunk();
        return;
      }
      finished++;
      stream.end();
    }
  }
}
