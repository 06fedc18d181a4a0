package io.samphiredyke.cli.publish;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.samphiredyke.net.http.ConnectFailedException;
import io.samphiredyke.net.http.HttpClient;
import io.samphiredyke.net.http.HttpClientOptions;
import io.samphiredyke.net.http.HttpRequest;
import io.samphiredyke.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/** HTTP calls that wait for the whole answer. */
public final class HttpCalls implements AutoCloseable {

  private static final Duration GRACE = Duration.ofSeconds(2);

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final HttpClient client = new HttpClient(group, HttpClientOptions.defaults());

  /**
   * Sends a request and waits for the answer.
   *
   * @param request the request
   * @return the answer of any status
   * @throws CallFailedException if no whole answer came
   */
  public HttpResponse send(HttpRequest request) throws CallFailedException {
    String target = request.address().getHostString() + ":" + request.address().getPort();
    try {
      long millis = request.timeout().plus(GRACE).toMillis();
      return client.send(request).get(millis, TimeUnit.MILLISECONDS);
    } catch (ExecutionException e) {
      Throwable cause = e.getCause() == null ? e : e.getCause();
      boolean wasSent = !(cause instanceof ConnectFailedException);
      throw new CallFailedException(describe(target, cause), wasSent);
    } catch (TimeoutException e) {
      throw new CallFailedException("no answer from " + target + " in time", true);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new CallFailedException("interrupted while waiting for " + target, true);
    }
  }

  private static String describe(String target, Throwable cause) {
    if (cause instanceof ConnectFailedException) {
      return "nothing answers at " + target;
    }
    return "the connection to " + target + " failed: " + cause.getMessage();
  }

  @Override
  public void close() {
    client.close();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  /** Reports that no whole answer came. */
  public static final class CallFailedException extends Exception {

    private static final long serialVersionUID = 1L;

    private final boolean wasSent;

    CallFailedException(String message, boolean wasSent) {
      super(message);
      this.wasSent = wasSent;
    }

    /** Returns whether the request may have taken effect. */
    public boolean wasSent() {
      return wasSent;
    }
  }
}
