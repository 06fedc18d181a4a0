package review;

import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.URLDecoder;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Stand-in of the platform's store: keyed topics with one partition each. */
final class Store implements AutoCloseable {

  private final Net.Server server;
  private final Map<String, List<byte[]>> topics = new HashMap<>();

  Store(String ip) throws IOException {
    server = new Net.Server(ip, 0, (head, body, socket, out) -> handle(head, body, out));
  }

  String address() {
    return server.listener.getInetAddress().getHostAddress() + ":" + server.port();
  }

  /** Writes a value of a key, as the operator and the servers do; null drops the key. */
  synchronized void put(String topic, String key, String value) {
    byte[] name = key.getBytes(StandardCharsets.UTF_8);
    byte[] bytes = value == null ? new byte[0] : value.getBytes(StandardCharsets.UTF_8);
    ByteBuffer content = ByteBuffer.allocate(1 + name.length + bytes.length);
    content.put((byte) name.length).put(name).put(bytes);
    append(topic, content.array());
  }

  private synchronized long append(String topic, byte[] content) {
    List<byte[]> records = topics.computeIfAbsent(topic, name -> new ArrayList<>());
    records.add(content);
    notifyAll();
    return records.size() - 1;
  }

  private boolean handle(Net.Head head, byte[] body, OutputStream out) throws IOException {
    String target = head.target();
    String path = target.contains("?") ? target.substring(0, target.indexOf('?')) : target;
    Map<String, String> query = new HashMap<>();
    if (target.contains("?")) {
      for (String field : target.substring(target.indexOf('?') + 1).split("&")) {
        int equals = field.indexOf('=');
        query.put(
            field.substring(0, equals),
            URLDecoder.decode(field.substring(equals + 1), StandardCharsets.UTF_8));
      }
    }
    String topic = query.getOrDefault("Topic", "");
    if (path.equals("/samphiredyke/log-append")) {
      appendCall(topic, query, body, out);
    } else if (path.equals("/samphiredyke/log-newest")) {
      respond(out, 200, "application/json", newest(topic));
    } else if (path.equals("/samphiredyke/log-read")) {
      long from = Long.parseLong(query.getOrDefault("From", "0"));
      long wait = Long.parseLong(query.getOrDefault("WaitMs", "0"));
      respond(out, 200, "application/octet-stream", read(topic, from, wait));
    } else {
      respond(out, 404, "application/json", Net.bytes("{}"));
    }
    return true;
  }

  private synchronized void appendCall(
      String topic, Map<String, String> query, byte[] body, OutputStream out) throws IOException {
    long end = topics.getOrDefault(topic, List.of()).size();
    if (query.containsKey("At") && Long.parseLong(query.get("At")) != end) {
      respond(out, 412, "application/json", Net.bytes("{\"End\":" + end + "}"));
      return;
    }
    ByteBuffer records = ByteBuffer.wrap(body);
    while (records.hasRemaining()) {
      byte[] content = new byte[records.getInt()];
      records.get(content);
      append(topic, content);
    }
    long after = topics.getOrDefault(topic, List.of()).size();
    respond(
        out,
        200,
        "application/json",
        Net.bytes("{\"Offset\":" + end + ",\"End\":" + after + "}"));
  }

  private synchronized byte[] newest(String topic) {
    List<byte[]> records = topics.getOrDefault(topic, List.of());
    Map<String, String> items = new LinkedHashMap<>();
    for (int offset = 0; offset < records.size(); offset++) {
      byte[] content = records.get(offset);
      String key = new String(content, 1, content[0] & 0xFF, StandardCharsets.UTF_8);
      int valueAt = 1 + (content[0] & 0xFF);
      byte[] value = java.util.Arrays.copyOfRange(content, valueAt, content.length);
      if (value.length == 0) {
        items.remove(key);
      } else {
        items.put(
            key,
            "{\"Key\":\""
                + key
                + "\",\"Value\":\""
                + Base64.getEncoder().encodeToString(value)
                + "\",\"Offset\":"
                + offset
                + "}");
      }
    }
    return Net.bytes(
        "{\"Items\":["
            + String.join(",", items.values())
            + "],\"HasMore\":false,\"End\":"
            + records.size()
            + "}");
  }

  private synchronized byte[] read(String topic, long from, long waitMillis) throws IOException {
    long until = System.nanoTime() + waitMillis * 1_000_000;
    while (topics.getOrDefault(topic, List.of()).size() <= from) {
      long left = (until - System.nanoTime()) / 1_000_000;
      if (left <= 0) {
        break;
      }
      try {
        wait(left);
      } catch (InterruptedException e) {
        throw new IOException(e);
      }
    }
    List<byte[]> records = topics.getOrDefault(topic, List.of());
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    DataOutputStream data = new DataOutputStream(bytes);
    data.writeLong(records.size());
    data.writeLong(0);
    for (int offset = (int) from; offset < records.size(); offset++) {
      data.writeInt(records.get(offset).length);
      data.write(records.get(offset));
    }
    return bytes.toByteArray();
  }

  private static void respond(OutputStream out, int status, String type, byte[] body)
      throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    bytes.write(
        Net.bytes(
            "HTTP/1.1 "
                + status
                + " Status\r\nStore-Era: 1\r\nContent-Type: "
                + type
                + "\r\nContent-Length: "
                + body.length
                + "\r\n\r\n"));
    bytes.write(body);
    out.write(bytes.toByteArray());
    out.flush();
  }

  @Override
  public void close() throws IOException {
    server.close();
  }
}
