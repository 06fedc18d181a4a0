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

/** The pages of an engine's prefix cache: late events with gaps, export and import. */
final class CachePages {

  static final String EXPORT_PREFIX = "/v1/cache/export/";

  private static final long BYTES_PER_TOKEN = 131_072;
  private static final long BYTES_PER_SECOND = 10_000_000_000L;
  private static final int LOSS_STEPS = 1_000;
  private static final long GOLDEN_GAMMA = 0x9e3779b97f4a7c15L;
  private static final int HEXADECIMAL = 16;
  private static final int STATUS_OK = 200;
  private static final int STATUS_BAD_REQUEST = 400;
  private static final int STATUS_NOT_FOUND = 404;

  private final EngineModel model;
  private final EngineSettings settings;
  private final StandInRuntime runtime;
  private final Timers timers;

  CachePages(EngineModel model, EngineSettings settings, StandInRuntime runtime, Timers timers) {
    this.model = model;
    this.settings = settings;
    this.runtime = runtime;
    this.timers = timers;
  }

  void events(HttpExchange exchange) {
    long after = parse(exchange.query().get("after"), 10);
    long until = timers.now() - settings.cacheEventLag().toNanos();
    List<CacheEvent> events = model.cacheEvents(after, until);
    long next = events.isEmpty() ? after : events.get(events.size() - 1).sequence();
    List<EnginePages.Event> published =
        events.stream().filter(event -> !isLost(event)).map(this::page).toList();
    exchange.respondJson(STATUS_OK, new EnginePages.Events(published, next));
  }

  private boolean isLost(CacheEvent event) {
    long step = Math.floorMod((event.sequence() * GOLDEN_GAMMA) >>> Integer.SIZE, LOSS_STEPS);
    return step < settings.cacheEventLoss() * LOSS_STEPS;
  }

  private EnginePages.Event page(CacheEvent event) {
    return new EnginePages.Event(
        event.sequence(),
        wallMillis(event.time()),
        event.kind().name().toLowerCase(Locale.ROOT),
        hex(event.block()),
        event.parent() == 0 ? null : hex(event.parent()));
  }

  /** Returns the wall-clock time of a time of the monotonic clock, in milliseconds. */
  long wallMillis(long nanos) {
    return runtime.clock().millis() - TimeUnit.NANOSECONDS.toMillis(timers.now() - nanos);
  }

  void exportBlocks(HttpExchange exchange, String block) {
    List<Long> blocks = model.exportBlocks(parse(block, HEXADECIMAL));
    if (blocks.isEmpty()) {
      exchange.respondJson(
          STATUS_NOT_FOUND,
          new ErrorBody(new ErrorBody.Detail("block " + block + " isn't cached", "not_cached")));
      return;
    }
    long bytes = bytes(blocks.size());
    List<String> hashes = blocks.stream().map(CachePages::hex).toList();
    int blockTokens = settings.options().blockTokens();
    timers.after(
        transferNanos(bytes),
        () ->
            exchange.respondJson(STATUS_OK, new EnginePages.KvBlocks(blockTokens, bytes, hashes)));
  }

  void importBlocks(HttpExchange exchange, EnginePages.KvBlocks body) {
    List<String> hashes = body.blocks();
    if (hashes == null || body.blockTokens() != settings.options().blockTokens()) {
      throw new HttpException(
          STATUS_BAD_REQUEST,
          "blocks must be of " + settings.options().blockTokens() + " tokens each");
    }
    List<Long> blocks = hashes.stream().map(hash -> parse(hash, HEXADECIMAL)).toList();
    timers.after(
        transferNanos(bytes(blocks.size())),
        () -> {
          model.importBlocks(blocks, timers.now());
          exchange.respondJson(STATUS_OK, new EnginePages.Imported(blocks.size()));
        });
  }

  private long bytes(int blocks) {
    return blocks * settings.options().blockTokens() * BYTES_PER_TOKEN;
  }

  private static long transferNanos(long bytes) {
    return (long) (bytes * 1e9 / BYTES_PER_SECOND);
  }

  private static String hex(long block) {
    return String.format(Locale.ROOT, "%016x", block);
  }

  private static long parse(@Nullable String number, int radix) {
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
