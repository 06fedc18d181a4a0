package io.samphiredyke.cli.publish;

import io.samphiredyke.cli.publish.HttpCalls.CallFailedException;
import io.samphiredyke.core.config.ConfigurationRecord;
import io.samphiredyke.core.config.LogPage;
import io.samphiredyke.net.configuration.ConfigurationCodec;
import io.samphiredyke.net.configuration.ConfigurationFormatException;
import io.samphiredyke.net.http.HttpRequest;
import io.samphiredyke.net.http.HttpResponse;
import java.net.InetSocketAddress;
import java.time.Duration;

/** The configuration stream over HTTP. */
public final class HttpConfigurationLog implements ConfigurationLog {

  private static final int MAX_RECORDS = 500;
  private static final int OK = 200;
  private static final int CREATED = 201;
  private static final int GONE = 410;
  private static final int TOO_MANY_REQUESTS = 429;
  private static final int UNAVAILABLE = 503;

  private final HttpCalls calls;
  private final InetSocketAddress address;
  private final String path;
  private final Duration timeout;

  /**
   * Creates the stream.
   *
   * @param calls the HTTP calls
   * @param address where the log service is
   * @param stream the name of the stream
   * @param timeout how long an answer may take beyond a wanted wait
   */
  public HttpConfigurationLog(
      HttpCalls calls, InetSocketAddress address, String stream, Duration timeout) {
    this.calls = calls;
    this.address = address;
    this.path = "/v1/streams/" + stream + "/records";
    this.timeout = timeout;
  }

  @Override
  public long append(ConfigurationRecord record) throws LogUnavailableException {
    byte[] body = ConfigurationCodec.encode(record);
    HttpResponse response = send(HttpRequest.post(address, path, body).timeout(timeout).build());
    if (response.status() != OK && response.status() != CREATED) {
      throw refused("append", response);
    }
    try {
      return ConfigurationCodec.decodeAppendedOffset(response.body());
    } catch (ConfigurationFormatException e) {
      throw new LogUnavailableException("the log's answer is malformed: " + e.getMessage(), true);
    }
  }

  @Override
  public LogPage read(long from, long waitMillis) throws ExpiredException, LogUnavailableException {
    String query = "?from=" + from + "&max=" + MAX_RECORDS + "&waitMillis=" + waitMillis;
    Duration limit = timeout.plusMillis(waitMillis);
    HttpResponse response = send(HttpRequest.get(address, path + query).timeout(limit).build());
    try {
      if (response.status() == GONE) {
        throw new ExpiredException(ConfigurationCodec.decodeOldestOffset(response.body()));
      }
      if (response.status() != OK) {
        throw refused("read", response);
      }
      return ConfigurationCodec.decodePage(response.body());
    } catch (ConfigurationFormatException e) {
      throw new LogUnavailableException("the log's answer is malformed: " + e.getMessage(), false);
    }
  }

  private HttpResponse send(HttpRequest request) throws LogUnavailableException {
    try {
      return calls.send(request);
    } catch (CallFailedException e) {
      throw new LogUnavailableException("log: " + e.getMessage(), e.wasSent());
    }
  }

  private static LogUnavailableException refused(String action, HttpResponse response) {
    boolean isKnownRefusal =
        response.status() == TOO_MANY_REQUESTS || response.status() == UNAVAILABLE;
    String message = "the log refused to " + action + " with status " + response.status();
    return new LogUnavailableException(message, !isKnownRefusal);
  }
}
