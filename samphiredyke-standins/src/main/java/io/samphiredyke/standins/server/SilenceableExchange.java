package io.samphiredyke.standins.server;

import io.netty.channel.EventLoop;
import io.samphiredyke.net.http.HttpExchange;
import io.samphiredyke.net.http.ResponseStream;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import org.jspecify.annotations.Nullable;

/** An HTTP exchange that sends nothing while its connection is silenced. */
final class SilenceableExchange implements HttpExchange {

  private final HttpExchange exchange;
  private final BooleanSupplier silent;

  SilenceableExchange(HttpExchange exchange, BooleanSupplier silent) {
    this.exchange = exchange;
    this.silent = silent;
  }

  @Override
  public String method() {
    return exchange.method();
  }

  @Override
  public String path() {
    return exchange.path();
  }

  @Override
  public Map<String, String> query() {
    return exchange.query();
  }

  @Override
  public @Nullable String header(String name) {
    return exchange.header(name);
  }

  @Override
  public EventLoop eventLoop() {
    return exchange.eventLoop();
  }

  @Override
  public CompletableFuture<byte[]> body() {
    return exchange.body();
  }

  @Override
  public void respond(int status, Map<String, String> headers, byte[] body) {
    if (!silent.getAsBoolean()) {
      exchange.respond(status, headers, body);
    }
  }

  @Override
  public ResponseStream startStream(int status, Map<String, String> headers) {
    if (silent.getAsBoolean()) {
      return new SilentStream();
    }
    return new SilenceableStream(exchange.startStream(status, headers), silent);
  }

  @Override
  public CompletableFuture<Void> disconnected() {
    return exchange.disconnected();
  }

  @Override
  public long connectionNumber() {
    return exchange.connectionNumber();
  }

  @Override
  public void abort() {
    if (!silent.getAsBoolean()) {
      exchange.abort();
    }
  }

  private static class SilentStream implements ResponseStream {

    @Override
    public void write(byte[] chunk) {}

    @Override
    public boolean isWritable() {
      return true;
    }

    @Override
    public void whenWritable(Runnable action) {
      action.run();
    }

    @Override
    public void end() {}

    @Override
    public void abort() {}
  }

  private static final class SilenceableStream implements ResponseStream {

    private static final ResponseStream SILENT = new SilentStream();

    private final ResponseStream stream;
    private final BooleanSupplier silent;

    SilenceableStream(ResponseStream stream, BooleanSupplier silent) {
      this.stream = stream;
      this.silent = silent;
    }

    private ResponseStream target() {
      return silent.getAsBoolean() ? SILENT : stream;
    }

    @Override
    public void write(byte[] chunk) {
      target().write(chunk);
    }

    @Override
    public boolean isWritable() {
      return target().isWritable();
    }

    @Override
    public void whenWritable(Runnable action) {
      target().whenWritable(action);
    }

    @Override
    public void end() {
      target().end();
    }

    @Override
    public void abort() {
      target().abort();
    }
  }
}
