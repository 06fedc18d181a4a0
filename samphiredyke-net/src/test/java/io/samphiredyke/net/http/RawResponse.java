package io.samphiredyke.net.http;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A server that sends the same bytes to each connection and closes it. */
record RawResponse(ServerSocket server, String bytes) implements AutoCloseable {

  static RawResponse start(String bytes) throws IOException {
    RawResponse started =
        new RawResponse(new ServerSocket(0, 16, InetAddress.getByName("127.0.0.1")), bytes);
    Thread thread = new Thread(started::serve);
    thread.setDaemon(true);
    thread.start();
    return started;
  }

  InetSocketAddress address() {
    return (InetSocketAddress) server.getLocalSocketAddress();
  }

  private void serve() {
    try {
      while (true) {
        try (Socket socket = server.accept()) {
          byte[] request = new byte[4096];
          if (socket.getInputStream().read(request) > 0) {
            socket.getOutputStream().write(bytes.getBytes(StandardCharsets.US_ASCII));
          }
        }
      }
    } catch (IOException e) {
      // The test has ended.
    }
  }

  @Override
  public void close() throws IOException {
    server.close();
  }
}
