package io.samphiredyke.net.http;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * A request for {@link HttpClient} to send.
 *
 * @param method the method
 * @param address the address to connect to
 * @param path the encoded path with its query
 * @param headers additional headers
 * @param body the body, empty if there is none
 * @param timeout how long the connection may receive no data while a response is pending
 * @param newConnection whether a new connection must be opened for it
 * @param requiresFraming whether a response fails that states neither a length nor chunks
 */
public record HttpRequest(
    String method,
    InetSocketAddress address,
    String path,
    Map<String, String> headers,
    byte[] body,
    Duration timeout,
    boolean newConnection,
    boolean requiresFraming) {

  /** Returns a builder with the method GET, the path {@code /} and no address. */
  public static Builder builder() {
    return new Builder();
  }

  /** Returns a builder of a GET request. */
  public static Builder get(InetSocketAddress address, String path) {
    return builder().address(address).path(path);
  }

  /** Returns a builder of a POST request with a JSON body. */
  public static Builder post(InetSocketAddress address, String path, byte[] json) {
    return builder()
        .method("POST")
        .address(address)
        .path(path)
        .header("content-type", "application/json")
        .body(json);
  }

  /** Builder of {@link HttpRequest}. */
  public static final class Builder {

    private static final Duration DEFAULT_TIMEOUT = Duration.ofSeconds(10);

    private String method = "GET";
    private @Nullable InetSocketAddress address;
    private String path = "/";
    private final Map<String, String> headers = new LinkedHashMap<>();
    private byte[] body = new byte[0];
    private Duration timeout = DEFAULT_TIMEOUT;
    private boolean newConnection;
    private boolean requiresFraming;

    private Builder() {}

    /** Sets the method. */
    public Builder method(String value) {
      method = value;
      return this;
    }

    /** Sets the address to connect to. */
    public Builder address(InetSocketAddress value) {
      address = value;
      return this;
    }

    /** Sets the encoded path and query. */
    public Builder path(String value) {
      path = value;
      return this;
    }

    /** Adds a header. */
    public Builder header(String name, String value) {
      headers.put(name, value);
      return this;
    }

    /** Sets the body. */
    public Builder body(byte[] value) {
      body = value;
      return this;
    }

    /** Sets how long the connection may receive no data while a response is pending. */
    public Builder timeout(Duration value) {
      timeout = value;
      return this;
    }

    /** Sets whether a new connection must be opened, because pooled ones may be dead. */
    public Builder newConnection(boolean value) {
      newConnection = value;
      return this;
    }

    /**
     * Makes a response fail that states neither a length nor chunks. Its end can't be told from
     * that of a server that is killed. Use this for servers that frame all responses.
     */
    public Builder requireFraming() {
      requiresFraming = true;
      return this;
    }

    /**
     * Returns the request.
     *
     * @throws IllegalStateException if no address was set
     */
    public HttpRequest build() {
      InetSocketAddress target = address;
      if (target == null) {
        throw new IllegalStateException("address is not set");
      }
      return new HttpRequest(
          method, target, path, Map.copyOf(headers), body, timeout, newConnection, requiresFraming);
    }
  }
}
