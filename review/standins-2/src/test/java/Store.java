import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Stand-in of the platform's metadata store: topics with one partition, whose records are kept
 * until the run ends. Answers the calls that the gateway makes: log-append, log-read, log-newest.
 */
final class Store implements HttpPeer.Handler {

  private record Entry(String key, byte[] value) {}

  private final Map<String, List<Entry>> topics = new HashMap<>();
  /** While true, each call gets 503, which states that nothing was done. */
  volatile boolean isBusy;

  /** Writes a record; a null value drops the key. */
  synchronized void put(String topic, String key, String value) {
    byte[] bytes = value == null ? new byte[0] : value.getBytes(StandardCharsets.UTF_8);
    entries(topic).add(new Entry(key, bytes));
    notifyAll();
  }

  /** Returns the newest value of a key, or an empty text. */
  synchronized String newest(String topic, String key) {
    String found = "";
    for (Entry entry : entries(topic)) {
      if (entry.key().equals(key)) {
        found = new String(entry.value(), StandardCharsets.UTF_8);
      }
    }
    return found;
  }

  private List<Entry> entries(String topic) {
    return topics.computeIfAbsent(topic, key -> new ArrayList<>());
  }

  @Override
  public void handle(HttpPeer.Request request, HttpPeer.Reply reply) throws IOException {
    if (isBusy) {
      reply.send(503, Map.of("Store-Era", "1"), new byte[0]);
      return;
    }
    Map<String, String> query = request.query();
    String topic = query.getOrDefault("Topic", "");
    switch (request.path()) {
      case "/samphiredyke/log-newest" -> newest(topic, reply);
      case "/samphiredyke/log-read" -> read(topic, query, reply);
      case "/samphiredyke/log-append" -> append(topic, query, request.body(), reply);
      default -> reply.send(404, Map.of("Store-Era", "1"), new byte[0]);
    }
  }

  private void json(HttpPeer.Reply reply, int status, String body) throws IOException {
    reply.send(
        status,
        Map.of("Store-Era", "1", "Content-Type", "application/json"),
        body.getBytes(StandardCharsets.UTF_8));
  }

  private void newest(String topic, HttpPeer.Reply reply) throws IOException {
    StringBuilder items = new StringBuilder();
    int end;
    synchronized (this) {
      Map<String, Integer> newest = new LinkedHashMap<>();
      List<Entry> all = entries(topic);
      end = all.size();
      for (int i = 0; i < end; i++) {
        newest.put(all.get(i).key(), i);
      }
      for (Map.Entry<String, Integer> each : newest.entrySet()) {
        Entry entry = all.get(each.getValue());
        if (entry.value().length > 0) {
          items.append(items.length() == 0 ? "" : ",");
          items.append(
              String.format(
                  "{\"Key\":\"%s\",\"Value\":\"%s\",\"Offset\":%d}",
                  entry.key(),
                  Base64.getEncoder().encodeToString(entry.value()),
                  each.getValue()));
        }
      }
    }
    json(reply, 200, "{\"Items\":[" + items + "],\"HasMore\":false,\"End\":" + end + "}");
  }

  private void read(String topic, Map<String, String> query, HttpPeer.Reply reply)
      throws IOException {
    int from = Integer.parseInt(query.getOrDefault("From", "0"));
    long until =
        System.nanoTime() + Long.parseLong(query.getOrDefault("WaitMs", "0")) * 1_000_000;
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    synchronized (this) {
      List<Entry> all = entries(topic);
      if (from > all.size()) {
        json(reply, 410, "{\"First\":0}");
        return;
      }
      long left = (until - System.nanoTime()) / 1_000_000;
      while (all.size() <= from && left > 0) {
        try {
          wait(left);
        } catch (InterruptedException e) {
          throw new IOException(e);
        }
        left = (until - System.nanoTime()) / 1_000_000;
      }
      out.writeBytes(ByteBuffer.allocate(16).putLong(all.size()).putLong(0).array());
      for (Entry entry : all.subList(from, all.size())) {
        byte[] key = entry.key().getBytes(StandardCharsets.UTF_8);
        int length = 1 + key.length + entry.value().length;
        ByteBuffer record = ByteBuffer.allocate(4 + length);
        record.putInt(length).put((byte) key.length).put(key).put(entry.value());
        out.writeBytes(record.array());
      }
    }
    reply.send(
        200,
        Map.of("Store-Era", "1", "Content-Type", "application/octet-stream"),
        out.toByteArray());
  }

  private void append(String topic, Map<String, String> query, byte[] body, HttpPeer.Reply reply)
      throws IOException {
    int offset;
    int end;
    synchronized (this) {
      offset = entries(topic).size();
      if (query.containsKey("At") && Integer.parseInt(query.get("At")) != offset) {
        json(reply, 412, "{\"End\":" + offset + "}");
        return;
      }
      ByteBuffer bytes = ByteBuffer.wrap(body);
      while (bytes.hasRemaining()) {
        byte[] content = new byte[bytes.getInt()];
        bytes.get(content);
        int keyLength = content.length == 0 ? 0 : content[0] & 0xff;
        String key = new String(content, 1, keyLength, StandardCharsets.UTF_8);
        entries(topic).add(new Entry(key, Arrays.copyOfRange(content, 1 + keyLength, content.length)));
      }
      end = entries(topic).size();
      notifyAll();
    }
    json(reply, 200, "{\"Offset\":" + offset + ",\"End\":" + end + "}");
  }
}
