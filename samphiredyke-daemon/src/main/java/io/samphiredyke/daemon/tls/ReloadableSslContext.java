package io.samphiredyke.daemon.tls;

import io.netty.buffer.ByteBufAllocator;
import io.netty.handler.ssl.ApplicationProtocolNegotiator;
import io.netty.handler.ssl.SslContext;
import java.util.List;
import javax.net.ssl.SSLEngine;
import javax.net.ssl.SSLSessionContext;

/** A TLS context that delegates to a replaceable one. Open connections keep their context. */
final class ReloadableSslContext extends SslContext {

  private volatile SslContext current;

  ReloadableSslContext(SslContext first) {
    current = first;
  }

  void replace(SslContext next) {
    current = next;
  }

  @Override
  public boolean isClient() {
    return current.isClient();
  }

  @Override
  public List<String> cipherSuites() {
    return current.cipherSuites();
  }

  @Override
  @SuppressWarnings("deprecation")
  public ApplicationProtocolNegotiator applicationProtocolNegotiator() {
    return current.applicationProtocolNegotiator();
  }

  @Override
  public SSLEngine newEngine(ByteBufAllocator allocator) {
    return current.newEngine(allocator);
  }

  @Override
  public SSLEngine newEngine(ByteBufAllocator allocator, String host, int port) {
    return current.newEngine(allocator, host, port);
  }

  @Override
  public SSLSessionContext sessionContext() {
    return current.sessionContext();
  }
}
