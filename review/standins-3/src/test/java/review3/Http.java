package review3;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Reads HTTP/1.1 messages from a blocking stream. */
final class Http {

  /** A message; the header names are in lower case. */
  record Message(String startLine, Map<String, String> headers, byte[] body, boolean isComplete) {

    String header(String name) {
      return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
    }

    String method() {
      return startLine.split(" ")[0];
    }

    String target() {
      return startLine.split(" ")[1];
    }

    int status() {
      return Integer.parseInt(startLine.split(" ")[1]);
    }

    String text() {
      return new String(body, StandardCharsets.UTF_8);
    }
  }

  private Http() {}

  /** Returns the lines of a head, or null at the end of the stream before its first byte. */
  static String readHead(InputStream in) throws IOException {
    ByteArrayOutputStream head = new ByteArrayOutputStream();
    int last4 = 0;
    while (true) {
      int next = in.read();
      if (next < 0) {
        if (head.size() == 0) {
          return null;
        }
        throw new EOFException("the stream ended within a head");
      }
      head.write(next);
      last4 = last4 << 8 | next;
      if (last4 == 0x0d0a0d0a) {
        return head.toString(StandardCharsets.ISO_8859_1);
      }
    }
  }

  static Map<String, String> headers(String head) {
    Map<String, String> headers = new LinkedHashMap<>();
    String[] lines = head.split("\r\n");
    for (int i = 1; i < lines.length; i++) {
      int colon = lines[i].indexOf(':');
      if (colon > 0) {
        headers.put(
            lines[i].substring(0, colon).strip().toLowerCase(Locale.ROOT),
            lines[i].substring(colon + 1).strip());
      }
    }
    return headers;
  }

  static String startLine(String head) {
    return head.substring(0, head.indexOf("\r\n"));
  }

  /** Reads a request, or returns null at the end of the stream. */
  static Message readRequest(InputStream in) throws IOException {
    String head = readHead(in);
    if (head == null) {
      return null;
    }
    Map<String, String> headers = headers(head);
    byte[] body = readFramedBody(in, headers, 0);
    return new Message(startLine(head), headers, body, true);
  }

  /** Reads a response; one without length and chunks lasts until the end of the stream. */
  static Message readResponse(InputStream in, boolean isHeadRequest) throws IOException {
    String head = readHead(in);
    if (head == null) {
      return null;
    }
    Map<String, String> headers = headers(head);
    String start = startLine(head);
    int status = Integer.parseInt(start.split(" ")[1]);
    if (isHeadRequest || status < 200 || status == 204 || status == 304) {
      return new Message(start, headers, new byte[0], true);
    }
    try {
      return new Message(start, headers, readFramedBody(in, headers, -1), true);
    } catch (EOFException e) {
      return new Message(start, headers, new byte[0], false);
    }
  }

  private static byte[] readFramedBody(InputStream in, Map<String, String> headers, int unframed)
      throws IOException {
    if (headers.getOrDefault("transfer-encoding", "").equalsIgnoreCase("chunked")) {
      ByteArrayOutputStream body = new ByteArrayOutputStream();
      while (true) {
        int size = Integer.parseInt(readLine(in).split(";")[0].strip(), 16);
        body.write(readExactly(in, size));
        readLine(in);
        if (size == 0) {
          return body.toByteArray();
        }
      }
    }
    if (headers.containsKey("content-length")) {
      return readExactly(in, Integer.parseInt(headers.get("content-length")));
    }
    return unframed == 0 ? new byte[0] : in.readAllBytes();
  }

  static String readLine(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (int next = in.read(); next != '\n'; next = in.read()) {
      if (next < 0) {
        throw new EOFException("the stream ended within a line");
      }
      line.write(next);
    }
    return line.toString(StandardCharsets.ISO_8859_1).strip();
  }

  private static byte[] readExactly(InputStream in, int size) throws IOException {
    byte[] bytes = in.readNBytes(size);
    if (bytes.length < size) {
      throw new EOFException("the stream ended within a body");
    }
    return bytes;
  }
}
