package io.samphiredyke.cli.publish;

import io.samphiredyke.cli.publish.BlockingHttpClient.RequestFailedException;
import io.samphiredyke.core.config.ConfigurationRecord;
import io.samphiredyke.core.config.LogPage;
import io.samphiredyke.net.configuration.ConfigurationCodec;
import io.samphiredyke.net.configuration.ConfigurationFormatException;
import io.samphiredyke.net.http.HttpRequest;
import io.samphiredyke.net.http.HttpResponse;
import java.net.InetSocketAddress;
import java.time.Duration;

/** Client of the configuration stream over HTTP. */
public final class HttpConfigurationLog implements ConfigurationLog {

  private static final int MAX_RECORDS = 500;
  private static final int OK = 200;
  private static final int CREATED = 201;
  private static final int GONE = 410;
  private static final int TOO_MANY_REQUESTS = 429;
  private static final int UNAVAILABLE = 503;

  private final BlockingHttpClient client;
  private final InetSocketAddress address;
  private final String path;
  private final Duration timeout;

  /**
   * Creates the client.
   *
   * @param client the HTTP client
   * @param address the address of the log service
   * @param stream the name of the stream
   * @param timeout the response timeout, in addition to the wait time of a read
   */
  public HttpConfigurationLog(
      BlockingHttpClient client, InetSocketAddress address, String stream, Duration timeout) {
    this.client = client;
    this.address = address;
    this.path = "/v1/streams/" + stream + "/records";
    this.timeout = timeout;
  }

  @Override
  public long append(ConfigurationRecord record) throws LogUnavailableException {
    byte[] body = ConfigurationCodec.encode(record);
    HttpResponse response = send(HttpRequest.post(address, path, body).timeout(timeout).build());
    if (response.status() != OK && response.status() != CREATED) {
      throw statusError("append", response);
    }
    try {
      return ConfigurationCodec.decodeAppendedOffset(response.body());
    } catch (ConfigurationFormatException e) {
      throw new LogUnavailableException(
          "the log sent a malformed response: " + e.getMessage(), true);
    }
  }

  @Override
  public LogPage read(long from, long waitMillis)
      throws RecordsExpiredException, LogUnavailableException {
    String query = "?from=" + from + "&max=" + MAX_RECORDS + "&waitMillis=" + waitMillis;
    Duration readTimeout = timeout.plusMillis(waitMillis);
    HttpResponse response =
        send(HttpRequest.get(address, path + query).timeout(readTimeout).build());
    try {
      if (response.status() == GONE) {
        throw new RecordsExpiredException(ConfigurationCodec.decodeOldestOffset(response.body()));
      }
      if (response.status() != OK) {
        throw statusError("read", response);
      }
      return ConfigurationCodec.decodePage(response.body());
    } catch (ConfigurationFormatException e) {
      throw new LogUnavailableException(
          "the log sent a malformed response: " + e.getMessage(), false);
    }
  }

  private HttpResponse send(HttpRequest request) throws LogUnavailableException {
    try {
      return client.send(request);
    } catch (RequestFailedException e) {
      throw new LogUnavailableException("log: " + e.getMessage(), e.mayHaveTakenEffect());
    }
  }

  private static LogUnavailableException statusError(String action, HttpResponse response) {
    boolean isDefiniteRejection =
        response.status() == TOO_MANY_REQUESTS || response.status() == UNAVAILABLE;
    String message = "the log rejected the " + action + " with status " + response.status();
    return new LogUnavailableException(message, !isDefiniteRejection);
  }
}
