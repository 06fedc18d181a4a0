package io.samphiredyke.gateway.upstream;

import io.netty.buffer.ByteBuf;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/**
 * Comparison of a body whose end nothing states with a second copy of the same response behind it.
 *
 * <p>Where the copy up to the close equals the body before it, both are as complete as the close of
 * the connection alone states it. Keeps digests, not the body.
 */
final class CopyComparison {

  private final MessageDigest body = sha256();
  private final MessageDigest copy = sha256();
  private long bodyBytes;
  private long copyBytes;

  private static MessageDigest sha256() {
    try {
      return MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Adds bytes of the body. */
  void addToBody(ByteBuf bytes) {
    bodyBytes += bytes.readableBytes();
    add(body, bytes);
  }

  /** Adds bytes of the copy's body. */
  void addToCopy(ByteBuf bytes) {
    copyBytes += bytes.readableBytes();
    add(copy, bytes);
  }

  private static void add(MessageDigest digest, ByteBuf bytes) {
    digest.update(bytes.nioBuffer());
  }

  /** Returns whether the copy is longer than the body. */
  boolean isLonger() {
    return copyBytes > bodyBytes;
  }

  /** Returns whether both are equal; nothing can be added afterwards. */
  boolean isEqual() {
    return copyBytes == bodyBytes && MessageDigest.isEqual(body.digest(), copy.digest());
  }
}
