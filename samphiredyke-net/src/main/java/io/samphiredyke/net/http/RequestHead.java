package io.samphiredyke.net.http;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Head of a request that is kept while the request waits or runs.
 *
 * <p>A decoded header line occupies many times its length. A head of many lines is kept as bytes,
 * and its headers are decoded each time they are asked for.
 */
public final class RequestHead {

  /** Lines of a head that is kept as it was decoded. */
  private static final int MAX_DECODED_LINES = 64;

  /** Memory of a decoded line beside its text, in bytes. */
  private static final int LINE_BYTES = 96;

  private static final byte END = '\n';

  private final HttpMethod method;
  private final String uri;
  private final int keptBytes;
  private final @Nullable HttpHeaders decoded;
  private final byte[] lines;

  private RequestHead(
      HttpMethod method, String uri, int keptBytes, @Nullable HttpHeaders decoded, byte[] lines) {
    this.method = method;
    this.uri = uri;
    this.keptBytes = keptBytes;
    this.decoded = decoded;
    this.lines = lines;
  }

  /** Returns the head of a decoded request. */
  public static RequestHead of(HttpRequest request) {
    HttpHeaders headers = request.headers();
    String uri = request.uri();
    if (headers.size() <= MAX_DECODED_LINES) {
      int bytes = 2 * uri.length() + textLength(headers) + headers.size() * LINE_BYTES;
      return new RequestHead(request.method(), uri, bytes, headers, new byte[0]);
    }
    byte[] lines = encode(headers);
    return new RequestHead(request.method(), uri, 2 * uri.length() + lines.length, null, lines);
  }

  private static int textLength(HttpHeaders headers) {
    int length = 0;
    for (Map.Entry<String, String> header : headers) {
      length += header.getKey().length() + header.getValue().length();
    }
    return length;
  }

  /** Encodes each line as name and value; neither can contain the end of a line. */
  private static byte[] encode(HttpHeaders headers) {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    for (Map.Entry<String, String> header : headers) {
      out.writeBytes(header.getKey().getBytes(StandardCharsets.ISO_8859_1));
      out.write(END);
      out.writeBytes(header.getValue().getBytes(StandardCharsets.ISO_8859_1));
      out.write(END);
    }
    return out.toByteArray();
  }

  /** Returns the method. */
  public HttpMethod method() {
    return method;
  }

  /** Returns path and query as sent. */
  public String uri() {
    return uri;
  }

  /** Returns the memory that the head occupies, a copy of its path included, in bytes. */
  public int keptBytes() {
    return keptBytes;
  }

  /** Returns the headers, which must not be changed and not be kept. */
  public HttpHeaders headers() {
    HttpHeaders known = decoded;
    if (known != null) {
      return known;
    }
    HttpHeaders headers = new DefaultHttpHeaders(false);
    int start = 0;
    while (start < lines.length) {
      int middle = indexOfEnd(start);
      int end = indexOfEnd(middle + 1);
      headers.add(text(start, middle), text(middle + 1, end));
      start = end + 1;
    }
    return headers;
  }

  private int indexOfEnd(int from) {
    int index = from;
    while (lines[index] != END) {
      index++;
    }
    return index;
  }

  private String text(int start, int end) {
    return new String(lines, start, end - start, StandardCharsets.ISO_8859_1);
  }
}
