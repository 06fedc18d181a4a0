package io.samphiredyke.standins.engine;

import io.samphiredyke.net.http.HttpException;
import io.samphiredyke.net.http.HttpExchange;
import io.samphiredyke.standins.server.ErrorBody;
import io.samphiredyke.standins.server.StandInRuntime;
import io.samphiredyke.standins.server.Timers;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/** HTTP API of an engine's prefix cache: delayed and lossy events, export and import of blocks. */
final class CacheApi {

  static final String EXPORT_PREFIX = "/v1/cache/export/";

  /** Simulated size of the KV cache of one token. */
  private static final long KV_BYTES_PER_TOKEN = 131_072;

  /** Simulated transfer rate of exported and imported blocks. */
  private static final long TRANSFER_BYTES_PER_SECOND = 10_000_000_000L;

  /** Event numbers are hashed to buckets; the lowest buckets are dropped. */
  private static final int LOSS_BUCKETS = 1_000;

  /** Multiplier of Fibonacci hashing. */
  private static final long GOLDEN_GAMMA = 0x9e3779b97f4a7c15L;

  private static final int HEXADECIMAL_RADIX = 16;
  private static final int STATUS_OK = 200;
  private static final int STATUS_BAD_REQUEST = 400;
  private static final int STATUS_NOT_FOUND = 404;

  private final EngineModel model;
  private final EngineSettings settings;
  private final StandInRuntime runtime;
  private final Timers timers;

  CacheApi(EngineModel model, EngineSettings settings, StandInRuntime runtime, Timers timers) {
    this.model = model;
    this.settings = settings;
    this.runtime = runtime;
    this.timers = timers;
  }

  void listEvents(HttpExchange exchange) {
    long after = parseUnsigned(exchange.query().get("after"), 10);
    long until = timers.now() - settings.cacheEventLag().toNanos();
    List<CacheEvent> events = model.cacheEvents(after, until);
    long next = events.isEmpty() ? after : events.get(events.size() - 1).sequence();
    List<EngineBodies.Event> published =
        events.stream().filter(event -> !isDropped(event)).map(this::toBody).toList();
    exchange.respondJson(STATUS_OK, new EngineBodies.Events(published, next));
  }

  private boolean isDropped(CacheEvent event) {
    long bucket = Math.floorMod((event.sequence() * GOLDEN_GAMMA) >>> Integer.SIZE, LOSS_BUCKETS);
    return bucket < settings.cacheEventLoss() * LOSS_BUCKETS;
  }

  private EngineBodies.Event toBody(CacheEvent event) {
    return new EngineBodies.Event(
        event.sequence(),
        wallMillis(event.time()),
        event.kind().name().toLowerCase(Locale.ROOT),
        hex(event.block()),
        event.parent() == 0 ? null : hex(event.parent()));
  }

  /** Converts a time of the monotonic clock to wall-clock milliseconds. */
  long wallMillis(long nanos) {
    return runtime.clock().millis() - TimeUnit.NANOSECONDS.toMillis(timers.now() - nanos);
  }

  void exportBlocks(HttpExchange exchange, String block) {
    List<Long> blocks = model.exportBlocks(parseUnsigned(block, HEXADECIMAL_RADIX));
    if (blocks.isEmpty()) {
      exchange.respondJson(
          STATUS_NOT_FOUND,
          new ErrorBody(new ErrorBody.Detail("block " + block + " isn't cached", "not_cached")));
      return;
    }
    long bytes = bytes(blocks.size());
    List<String> hashes = blocks.stream().map(CacheApi::hex).toList();
    int blockTokens = settings.options().blockTokens();
    timers.scheduleAfter(
        transferNanos(bytes),
        () ->
            exchange.respondJson(STATUS_OK, new EngineBodies.KvBlocks(blockTokens, bytes, hashes)));
  }

  void importBlocks(HttpExchange exchange, EngineBodies.KvBlocks body) {
    List<String> hashes = body.blocks();
    if (hashes == null || body.blockTokens() != settings.options().blockTokens()) {
      throw new HttpException(
          STATUS_BAD_REQUEST,
          "blocks must be of " + settings.options().blockTokens() + " tokens each");
    }
    List<Long> blocks =
        hashes.stream().map(hash -> parseUnsigned(hash, HEXADECIMAL_RADIX)).toList();
    timers.scheduleAfter(
        transferNanos(bytes(blocks.size())),
        () -> {
          model.importBlocks(blocks, timers.now());
          exchange.respondJson(STATUS_OK, new EngineBodies.Imported(blocks.size()));
        });
  }

  private long bytes(int blocks) {
    return blocks * settings.options().blockTokens() * KV_BYTES_PER_TOKEN;
  }

  private static long transferNanos(long bytes) {
    return (long) (bytes * 1e9 / TRANSFER_BYTES_PER_SECOND);
  }

  private static String hex(long block) {
    return String.format(Locale.ROOT, "%016x", block);
  }

  private static long parseUnsigned(@Nullable String number, int radix) {
    if (number == null) {
      return 0;
    }
    try {
      return Long.parseUnsignedLong(number, radix);
    } catch (NumberFormatException e) {
      throw new HttpException(STATUS_BAD_REQUEST, number + " is no number of base " + radix);
    }
  }
}
