import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.Map;

/** A client's connection. */
final class Caller implements AutoCloseable {

  /** What a client got. */
  static final class Answer {
    int status;
    Map<String, String> headers = Map.of();
    byte[] body = new byte[0];
  }

  final Socket socket = new Socket();
  private final InputStream in;
  private final OutputStream out;

  Caller(String ip, int port, int timeoutMillis) throws IOException {
    socket.connect(new InetSocketAddress(ip, port), 1_000);
    socket.setTcpNoDelay(true);
    socket.setSoTimeout(timeoutMillis);
    in = new BufferedInputStream(socket.getInputStream());
    out = socket.getOutputStream();
  }

  Answer get(String path) throws IOException {
    send("GET", path, Map.of(), new byte[0]);
    return receive();
  }

  void send(String method, String path, Map<String, String> headers, byte[] body)
      throws IOException {
    StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\n");
    head.append("Host: ficu95.example\r\n");
    headers.forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
    if (!method.equals("GET")) {
      head.append("Content-Length: " + body.length + "\r\n");
    }
    head.append("\r\n");
    ByteArrayOutputStream whole = new ByteArrayOutputStream();
    whole.writeBytes(head.toString().getBytes());
    whole.writeBytes(body);
    out.write(whole.toByteArray());
    out.flush();
  }

  /** Reads a whole answer; throws if the connection ends or resets before it is complete. */
  Answer receive() throws IOException {
    String line = HttpPeer.readLine(in);
    if (line == null) {
      throw new IOException("the connection ended without an answer");
    }
    Answer answer = new Answer();
    answer.status = Integer.parseInt(line.split(" ")[1]);
    answer.headers = HttpPeer.readHeaders(in);
    answer.body = HttpPeer.readBody(in, answer.headers);
    return answer;
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
