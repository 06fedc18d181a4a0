package io.samphiredyke.net.peer;

import java.util.HexFormat;

/** A shared secret for peer authentication, with its id. */
public final class PeerKey {

  private final String id;
  private final byte[] secret;

  /** Creates a key. */
  public PeerKey(String id, byte[] secret) {
    this.id = id;
    this.secret = secret.clone();
  }

  /**
   * Parses {@code id:hex}.
   *
   * @throws IllegalArgumentException if the text has another form
   */
  public static PeerKey parse(String text) {
    int colon = text.indexOf(':');
    if (colon <= 0) {
      throw new IllegalArgumentException("a peer key must have the form id:hex");
    }
    return new PeerKey(
        text.substring(0, colon), HexFormat.of().parseHex(text.substring(colon + 1)));
  }

  /** Returns the id, which is not secret. */
  public String id() {
    return id;
  }

  byte[] secret() {
    return secret;
  }

  @Override
  public String toString() {
    return "PeerKey[" + id + "]";
  }
}
