package io.samphiredyke.net.peer;

import io.samphiredyke.schema.message.Hello;
import io.samphiredyke.schema.message.Welcome;
import java.security.SecureRandom;
import java.util.HexFormat;
import java.util.List;

/**
 * The proofs that two hosts exchange when a link opens.
 *
 * <p>Client: {@code Hello} with a nonce. Server: {@code Welcome} with its nonce and its proof.
 * Client: {@code Hello} with its proof. A proof is the HMAC of the prover's role, both nonces and
 * both identities in full.
 */
final class Handshake {

  /** The version of the peer protocol that this code speaks. */
  static final int PROTOCOL_VERSION = 1;

  /** The oldest version of the peer protocol that this code accepts. */
  static final int OLDEST_VERSION = 1;

  private static final int NONCE_BYTES = 16;
  private static final SecureRandom RANDOM = new SecureRandom();

  private final PeerIdentity self;
  private final PeerKeys keys;

  Handshake(PeerIdentity self, PeerKeys keys) {
    this.self = self;
    this.keys = keys;
  }

  static String nonce() {
    byte[] bytes = new byte[NONCE_BYTES];
    RANDOM.nextBytes(bytes);
    return HexFormat.of().formatHex(bytes);
  }

  Hello hello(String nonce, String proof) {
    return Hello.builder()
        .protocolVersion(PROTOCOL_VERSION)
        .incarnation(self.incarnation())
        .name(self.name())
        .address(self.address())
        .dataCentre(self.dataCentre())
        .features(List.of())
        .keyId(keys.signingKeyId())
        .nonce(nonce)
        .proof(proof)
        .build();
  }

  Welcome welcome(Hello hello, String nonce) {
    String text = text("server", hello.nonce(), nonce, identity(hello), self);
    return Welcome.builder()
        .protocolVersion(PROTOCOL_VERSION)
        .incarnation(self.incarnation())
        .name(self.name())
        .address(self.address())
        .dataCentre(self.dataCentre())
        .features(List.of())
        .keyId(keys.signingKeyId())
        .nonce(nonce)
        .proof(keys.sign(text))
        .build();
  }

  boolean isAuthentic(Welcome welcome, String nonce) {
    String text = text("server", nonce, welcome.nonce(), self, identity(welcome));
    return welcome.protocolVersion() >= OLDEST_VERSION
        && keys.isAuthentic(welcome.keyId(), text, welcome.proof());
  }

  String clientProof(Welcome welcome, String nonce) {
    return keys.sign(text("client", nonce, welcome.nonce(), self, identity(welcome)));
  }

  boolean isAuthentic(Hello hello, String clientNonce, String serverNonce) {
    String text = text("client", clientNonce, serverNonce, identity(hello), self);
    return hello.protocolVersion() >= OLDEST_VERSION
        && keys.isAuthentic(hello.keyId(), text, hello.proof());
  }

  static PeerIdentity identity(Hello hello) {
    return new PeerIdentity(hello.name(), hello.incarnation(), hello.address(), hello.dataCentre());
  }

  static PeerIdentity identity(Welcome welcome) {
    return new PeerIdentity(
        welcome.name(), welcome.incarnation(), welcome.address(), welcome.dataCentre());
  }

  private static String text(
      String role,
      String clientNonce,
      String serverNonce,
      PeerIdentity client,
      PeerIdentity server) {
    return String.join("|", role, clientNonce, serverNonce, text(client), text(server));
  }

  /** Each part begins with its length, so that no two identities have the same text. */
  private static String text(PeerIdentity identity) {
    StringBuilder text = new StringBuilder();
    for (String part :
        List.of(
            identity.name(), identity.incarnation(), identity.address(), identity.dataCentre())) {
      text.append(part.length()).append(':').append(part);
    }
    return text.toString();
  }
}
