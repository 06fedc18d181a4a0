package io.samphiredyke.soak;

import io.samphiredyke.net.http.HttpRequest;
import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.ProtocolException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/**
 * A caller's connection to a host, which records each response as it arrives. It shares no code
 * with the product, so that a fault of the product's decoder can't hide another one.
 */
final class KeptConnection implements AutoCloseable {

  private static final int CONNECT_MILLIS = 1_000;
  private static final int STATUS_FIELD = 1;

  /** Length of a chunk of a request body. */
  private static final int CHUNK = 7;

  private final Socket socket = new Socket();
  private final BufferedInputStream in;
  private Map<String, String> headers = new HashMap<>();
  private ByteArrayOutputStream body = new ByteArrayOutputStream();
  private int status;
  private int bytesRead;

  /**
   * Opens a connection.
   *
   * @param timeout how long a response may be silent
   * @throws IOException if the host accepts none
   */
  KeptConnection(HttpRequest first, Duration timeout) throws IOException {
    socket.setTcpNoDelay(true);
    socket.setSoTimeout((int) timeout.toMillis());
    socket.connect(first.address(), CONNECT_MILLIS);
    in = new BufferedInputStream(socket.getInputStream());
  }

  /** Returns whether bytes arrived although no request is waiting. */
  boolean hasSurplusBytes() throws IOException {
    return in.available() > 0;
  }

  /**
   * Sends a request and reads the response; returns how it ended.
   *
   * @param isChunked whether the body is sent in chunks, one write each, instead of with its length
   */
  CallerOutcome.End exchange(HttpRequest request, boolean isChunked) {
    headers = new HashMap<>();
    body = new ByteArrayOutputStream();
    status = 0;
    bytesRead = 0;
    try {
      send(request, isChunked);
      readHead();
      readBody();
      return CallerOutcome.End.WHOLE;
    } catch (SocketTimeoutException e) {
      return CallerOutcome.End.NO_OUTCOME;
    } catch (ProtocolException | NumberFormatException e) {
      return CallerOutcome.End.MALFORMED;
    } catch (IOException e) {
      return bytesRead == 0
          ? CallerOutcome.End.CLOSED_WITHOUT_A_BYTE
          : CallerOutcome.End.CLOSED_WITHIN;
    }
  }

  private void send(HttpRequest request, boolean isChunked) throws IOException {
    StringBuilder head = new StringBuilder();
    head.append(request.method()).append(' ').append(request.path()).append(" HTTP/1.1\r\n");
    request.headers().forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
    if (isChunked) {
      write(head.append("Transfer-Encoding: chunked\r\n\r\n"));
      String text = new String(request.body(), StandardCharsets.US_ASCII);
      for (int from = 0; from < text.length(); from += CHUNK) {
        String chunk = text.substring(from, Math.min(text.length(), from + CHUNK));
        write(Integer.toHexString(chunk.length()) + "\r\n" + chunk + "\r\n");
      }
      write("0\r\n\r\n");
      return;
    }
    head.append("Content-Length: ").append(request.body().length).append("\r\n\r\n");
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    bytes.writeBytes(head.toString().getBytes(StandardCharsets.US_ASCII));
    bytes.writeBytes(request.body());
    socket.getOutputStream().write(bytes.toByteArray());
  }

  private void write(CharSequence text) throws IOException {
    socket.getOutputStream().write(text.toString().getBytes(StandardCharsets.US_ASCII));
  }

  private void readHead() throws IOException {
    String first = readLine();
    if (!first.startsWith("HTTP/1.1 ")) {
      throw new ProtocolException(first);
    }
    status = Integer.parseInt(first.split(" ")[STATUS_FIELD]);
    for (String line = readLine(); !line.isEmpty(); line = readLine()) {
      int colon = line.indexOf(':');
      if (colon < 0) {
        throw new ProtocolException(line);
      }
      headers.put(
          line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
    }
  }

  private void readBody() throws IOException {
    String length = headers.get("content-length");
    if (length != null) {
      readBytes(Integer.parseInt(length));
      return;
    }
    if (!headers.containsKey("transfer-encoding")) {
      throw new ProtocolException("neither a length nor chunks");
    }
    for (int size = readSize(); size > 0; size = readSize()) {
      readBytes(size);
      readLine();
    }
    readLine();
  }

  private int readSize() throws IOException {
    return Integer.parseInt(readLine(), 16);
  }

  private void readBytes(int count) throws IOException {
    for (int i = 0; i < count; i++) {
      body.write(readByte());
    }
  }

  private String readLine() throws IOException {
    StringBuilder line = new StringBuilder();
    for (int next = readByte(); next != '\n'; next = readByte()) {
      line.append((char) next);
    }
    return line.toString().strip();
  }

  private int readByte() throws IOException {
    int next = in.read();
    if (next < 0) {
      throw new IOException("closed");
    }
    bytesRead++;
    return next;
  }

  int status() {
    return status;
  }

  Map<String, String> headers() {
    return headers;
  }

  byte[] body() {
    return body.toByteArray();
  }

  /** Returns whether the host closes the connection after the last response. */
  boolean isClosing() {
    return "close".equalsIgnoreCase(headers.get("connection"));
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
