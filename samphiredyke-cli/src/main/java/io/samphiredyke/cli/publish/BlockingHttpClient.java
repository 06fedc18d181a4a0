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

/** HTTP client that blocks until the whole response is received. */
public final class BlockingHttpClient implements AutoCloseable {

  /** Lets the timeout of the request itself expire first, which reports the cause. */
  private static final Duration TIMEOUT_MARGIN = Duration.ofSeconds(2);

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final HttpClient client = new HttpClient(group, HttpClientOptions.defaults());

  /**
   * Sends a request and waits for the response.
   *
   * @param request the request
   * @return the response, whatever its status
   * @throws RequestFailedException if no complete response was received
   */
  public HttpResponse send(HttpRequest request) throws RequestFailedException {
    String target = request.address().getHostString() + ":" + request.address().getPort();
    try {
      long millis = request.timeout().plus(TIMEOUT_MARGIN).toMillis();
      return client.send(request).get(millis, TimeUnit.MILLISECONDS);
    } catch (ExecutionException e) {
      Throwable cause = e.getCause() == null ? e : e.getCause();
      boolean mayHaveTakenEffect = !(cause instanceof ConnectFailedException);
      throw new RequestFailedException(describe(target, cause), mayHaveTakenEffect);
    } catch (TimeoutException e) {
      throw new RequestFailedException("no response from " + target + " in time", true);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new RequestFailedException("interrupted while waiting for " + target, true);
    }
  }

  private static String describe(String target, Throwable cause) {
    if (cause instanceof ConnectFailedException) {
      return "can't connect to " + target;
    }
    return "the connection to " + target + " failed: " + cause.getMessage();
  }

  @Override
  public void close() {
    client.close();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  /** Thrown when no complete response was received. */
  public static final class RequestFailedException extends Exception {

    private static final long serialVersionUID = 1L;

    private final boolean mayHaveTakenEffect;

    RequestFailedException(String message, boolean mayHaveTakenEffect) {
      super(message);
      this.mayHaveTakenEffect = mayHaveTakenEffect;
    }

    /** Returns whether the request may have taken effect. */
    public boolean mayHaveTakenEffect() {
      return mayHaveTakenEffect;
    }
  }
}
