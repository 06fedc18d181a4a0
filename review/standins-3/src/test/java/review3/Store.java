package review3;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Stand-in of the platform's store: append, read with long poll, and the newest of each key. */
final class Store implements AutoCloseable {

  private final Map<String, List<byte[]>> topics = new HashMap<>();
  private final ServerSocket listener;

  Store(String ip) throws IOException {
    listener = new ServerSocket();
    listener.bind(new InetSocketAddress(InetAddress.getByName(ip), 0), 256);
    Threads.start("store", this::accept);
  }

  String address() {
    return listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort();
  }

  /** Appends a keyed record, as the operator and the runners do; null drops the key. */
  synchronized void put(String topic, String key, String value) {
    byte[] name = key.getBytes(StandardCharsets.UTF_8);
    byte[] bytes = value == null ? new byte[0] : value.getBytes(StandardCharsets.UTF_8);
    ByteBuffer record = ByteBuffer.allocate(1 + name.length + bytes.length);
    record.put((byte) name.length).put(name).put(bytes);
    records(topic).add(record.array());
    notifyAll();
  }

  private List<byte[]> records(String topic) {
    return topics.computeIfAbsent(topic, key -> new ArrayList<>());
  }

  private void accept() throws IOException {
    while (true) {
      Socket socket = listener.accept();
      Threads.start("store-connection", () -> serve(socket));
    }
  }

  private void serve(Socket socket) throws IOException {
    try (socket) {
      socket.setTcpNoDelay(true);
      BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
      for (Http.Message call = Http.readRequest(in); call != null; call = Http.readRequest(in)) {
        answer(call, socket.getOutputStream());
      }
    }
  }

  private void answer(Http.Message call, OutputStream out) throws IOException {
    String[] parts = call.target().split("\\?", 2);
    Map<String, String> query = new HashMap<>();
    for (String pair : (parts.length > 1 ? parts[1] : "").split("&")) {
      String[] entry = pair.split("=", 2);
      query.put(entry[0], entry.length > 1 ? URLDecoder.decode(entry[1], StandardCharsets.UTF_8) : "");
    }
    String topic = query.getOrDefault("Topic", "");
    switch (parts[0]) {
      case "/samphiredyke/log-append" -> append(topic, query, call.body(), out);
      case "/samphiredyke/log-read" -> read(topic, query, out);
      case "/samphiredyke/log-newest" -> newest(topic, out);
      default -> respond(out, 404, "application/json", new byte[0]);
    }
  }

  private void append(String topic, Map<String, String> query, byte[] body, OutputStream out)
      throws IOException {
    String json;
    int status = 200;
    synchronized (this) {
      List<byte[]> records = records(topic);
      int offset = records.size();
      String at = query.get("At");
      if (at != null && Long.parseLong(at) != offset) {
        status = 412;
        json = "{\"End\":" + offset + "}";
      } else {
        ByteBuffer bytes = ByteBuffer.wrap(body);
        while (bytes.hasRemaining()) {
          byte[] record = new byte[bytes.getInt()];
          bytes.get(record);
          records.add(record);
        }
        notifyAll();
        json = "{\"Offset\":" + offset + ",\"End\":" + records.size() + "}";
      }
    }
    respond(out, status, "application/json", json.getBytes(StandardCharsets.UTF_8));
  }

  private void read(String topic, Map<String, String> query, OutputStream out) throws IOException {
    int from = Integer.parseInt(query.getOrDefault("From", "0"));
    long until = System.nanoTime() + Long.parseLong(query.getOrDefault("WaitMs", "0")) * 1_000_000;
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    synchronized (this) {
      List<byte[]> records = records(topic);
      for (long left = until - System.nanoTime();
          records.size() <= from && left > 0;
          left = until - System.nanoTime()) {
        try {
          wait(1 + left / 1_000_000);
        } catch (InterruptedException e) {
          throw new IOException(e);
        }
      }
      body.writeBytes(ByteBuffer.allocate(16).putLong(records.size()).putLong(0).array());
      for (int i = from; i < records.size(); i++) {
        byte[] record = records.get(i);
        body.writeBytes(ByteBuffer.allocate(4).putInt(record.length).array());
        body.writeBytes(record);
      }
    }
    respond(out, 200, "application/octet-stream", body.toByteArray());
  }

  private void newest(String topic, OutputStream out) throws IOException {
    Map<String, String> items = new LinkedHashMap<>();
    int end;
    synchronized (this) {
      List<byte[]> records = records(topic);
      end = records.size();
      for (int i = 0; i < end; i++) {
        byte[] record = records.get(i);
        String key = new String(record, 1, record[0], StandardCharsets.UTF_8);
        byte[] value = Arrays.copyOfRange(record, 1 + record[0], record.length);
        items.remove(key);
        if (value.length > 0) {
          String text = Base64.getEncoder().encodeToString(value);
          items.put(key, "{\"Key\":\"" + key + "\",\"Value\":\"" + text + "\",\"Offset\":" + i + "}");
        }
      }
    }
    String json = "{\"Items\":[" + String.join(",", items.values()) + "],\"HasMore\":false,\"End\":" + end + "}";
    respond(out, 200, "application/json", json.getBytes(StandardCharsets.UTF_8));
  }

  private static void respond(OutputStream out, int status, String type, byte[] body)
      throws IOException {
    String head =
        "HTTP/1.1 " + status + " OK\r\nContent-Type: " + type
            + "\r\nContent-Length: " + body.length + "\r\n\r\n";
    ByteArrayOutputStream message = new ByteArrayOutputStream();
    message.writeBytes(head.getBytes(StandardCharsets.ISO_8859_1));
    message.writeBytes(body);
    out.write(message.toByteArray());
    out.flush();
  }

  @Override
  public void close() throws IOException {
    listener.close();
  }
}
