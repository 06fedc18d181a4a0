package io.samphiredyke.net.peer;

import io.samphiredyke.schema.message.Hello;
import io.samphiredyke.schema.message.Welcome;
import java.security.SecureRandom;
import java.util.HexFormat;
import java.util.List;

/**
 * The mutual authentication of two hosts when a link opens.
 *
 * <p>The client sends {@code Hello} with a nonce. The server replies {@code Welcome} with its own
 * nonce and its proof. The client then sends {@code Hello} with its proof. A proof is the HMAC of
 * the role of the prover, both nonces and all fields of both identities.
 */
final class Handshake {

  /** The version of the peer protocol that this code sends. */
  static final int PROTOCOL_VERSION = 1;

  /** The oldest version of the peer protocol that this code accepts from a peer. */
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
    String transcript = transcript("server", hello.nonce(), nonce, identity(hello), self);
    return Welcome.builder()
        .protocolVersion(PROTOCOL_VERSION)
        .incarnation(self.incarnation())
        .name(self.name())
        .address(self.address())
        .dataCentre(self.dataCentre())
        .features(List.of())
        .keyId(keys.signingKeyId())
        .nonce(nonce)
        .proof(keys.sign(transcript))
        .build();
  }

  boolean isAuthentic(Welcome welcome, String nonce) {
    String transcript = transcript("server", nonce, welcome.nonce(), self, identity(welcome));
    return welcome.protocolVersion() >= OLDEST_VERSION
        && keys.isAuthentic(welcome.keyId(), transcript, welcome.proof());
  }

  String clientProof(Welcome welcome, String nonce) {
    return keys.sign(transcript("client", nonce, welcome.nonce(), self, identity(welcome)));
  }

  boolean isAuthentic(Hello hello, String clientNonce, String serverNonce) {
    String transcript = transcript("client", clientNonce, serverNonce, identity(hello), self);
    return hello.protocolVersion() >= OLDEST_VERSION
        && keys.isAuthentic(hello.keyId(), transcript, hello.proof());
  }

  static PeerIdentity identity(Hello hello) {
    return new PeerIdentity(hello.name(), hello.incarnation(), hello.address(), hello.dataCentre());
  }

  static PeerIdentity identity(Welcome welcome) {
    return new PeerIdentity(
        welcome.name(), welcome.incarnation(), welcome.address(), welcome.dataCentre());
  }

  private static String transcript(
      String role,
      String clientNonce,
      String serverNonce,
      PeerIdentity client,
      PeerIdentity server) {
    return String.join("|", role, clientNonce, serverNonce, encode(client), encode(server));
  }

  /** Prefixes each field with its length, so that different identities have different texts. */
  private static String encode(PeerIdentity identity) {
    StringBuilder text = new StringBuilder();
    for (String field :
        List.of(
            identity.name(), identity.incarnation(), identity.address(), identity.dataCentre())) {
      text.append(field.length()).append(':').append(field);
    }
    return text.toString();
  }
}
