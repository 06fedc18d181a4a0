package io.samphiredyke.standins.engine;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;

/**
 * A prompt as seen by the prefix cache: its length and the chained hashes of its complete blocks.
 *
 * <p>A token is four characters of text; the last token may be shorter. Block hash {@code i} is the
 * first eight bytes, as a big-endian number, of SHA-256 over the eight bytes of hash {@code i - 1}
 * and the block's UTF-8 text; hash {@code -1} is that of the model's name alone.
 *
 * @param tokens the length, in tokens
 * @param blocks the hashes of the complete blocks, in order
 * @param digest the hexadecimal SHA-256 of the text; determines the text of the completion
 */
public record Prompt(int tokens, List<Long> blocks, String digest) {

  /** The number of characters in one token. */
  public static final int CHARACTERS_PER_TOKEN = 4;

  /** Copies the blocks. */
  public Prompt {
    blocks = List.copyOf(blocks);
  }

  /**
   * Returns the prompt for a text.
   *
   * @param model the model's name; models share no blocks
   * @param text the complete prompt
   * @param blockTokens the tokens per block
   */
  public static Prompt ofText(String model, String text, int blockTokens) {
    int blockCharacters = blockTokens * CHARACTERS_PER_TOKEN;
    int completeBlocks = text.length() / blockCharacters;
    List<Long> blocks = new ArrayList<>(completeBlocks);
    MessageDigest sha = sha256();
    long previous = firstLong(sha.digest(model.getBytes(StandardCharsets.UTF_8)));
    for (int i = 0; i < completeBlocks; i++) {
      sha.update(ByteBuffer.allocate(Long.BYTES).putLong(previous).flip());
      String block = text.substring(i * blockCharacters, (i + 1) * blockCharacters);
      previous = firstLong(sha.digest(block.getBytes(StandardCharsets.UTF_8)));
      blocks.add(previous);
    }
    return new Prompt(tokensOf(text), blocks, digestOf(text));
  }

  /** Returns the number of tokens in a text; at least one. */
  public static int tokensOf(String text) {
    return Math.max(1, (text.length() + CHARACTERS_PER_TOKEN - 1) / CHARACTERS_PER_TOKEN);
  }

  /** Returns the hexadecimal SHA-256 of a text. */
  public static String digestOf(String text) {
    return HexFormat.of().formatHex(sha256().digest(text.getBytes(StandardCharsets.UTF_8)));
  }

  private static long firstLong(byte[] hash) {
    return ByteBuffer.wrap(hash).getLong();
  }

  static MessageDigest sha256() {
    try {
      return MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java platform has SHA-256", e);
    }
  }
}
