package io.samphiredyke.standins.engine;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/**
 * The text with which the stand-in engine completes one request, a function of the request id and
 * the prompt's digest.
 *
 * <p>The seed is the first eight bytes, big-endian, of SHA-256 over {@code id + "\n" + digest} in
 * UTF-8. Token {@code i} (from 1) is the eight hexadecimal digits of the upper half of {@code
 * mix(seed + i)} and a space; the last token is {@code end-} followed by the token's own digits.
 * The text thus shows whether it is complete and to which request it belongs, without a known
 * length.
 */
public final class CompletionText {

  private static final String END = "end-";
  private static final int QUARTERS = 4;

  private final long seed;

  private CompletionText(long seed) {
    this.seed = seed;
  }

  /** The result of a comparison with a received text. */
  public enum MatchResult {
    /** The complete text for the request. */
    WHOLE,
    /** A proper prefix of the text, which may be empty. */
    TRUNCATED,
    /** Not a text for the request. */
    FOREIGN
  }

  /**
   * Returns the text for a request.
   *
   * @param id the request id that the engine received
   * @param digest the prompt's digest
   * @see Prompt#digestOf
   */
  public static CompletionText of(String id, String digest) {
    byte[] input = (id + "\n" + digest).getBytes(StandardCharsets.UTF_8);
    return new CompletionText(ByteBuffer.wrap(Prompt.sha256().digest(input)).getLong());
  }

  /** Returns a token, counted from 1, of a text of {@code length} tokens. */
  public String token(int index, int length) {
    return index == length ? END + word(index) : word(index) + " ";
  }

  /** Returns the complete text for a length of {@code length} tokens. */
  public String fullText(int length) {
    StringBuilder text = new StringBuilder();
    for (int i = 1; i <= length; i++) {
      text.append(token(i, length));
    }
    return text.toString();
  }

  /**
   * Returns the length of a text that stops by itself: between a quarter of the limit and the
   * limit.
   *
   * @param limit the maximum number of tokens
   */
  public int lengthWithin(int limit) {
    int minLength = (limit + QUARTERS - 1) / QUARTERS;
    return minLength + (int) Math.floorMod(mix(~seed), (long) (limit - minLength + 1));
  }

  /** Compares a received text with the expected text. */
  public MatchResult match(String text) {
    if (text.isEmpty()) {
      return MatchResult.TRUNCATED;
    }
    String[] words = text.split(" ", -1);
    for (int i = 1; i < words.length; i++) {
      if (!words[i - 1].equals(word(i))) {
        return MatchResult.FOREIGN;
      }
    }
    String last = words[words.length - 1];
    String expected = word(words.length);
    if (last.equals(END + expected)) {
      return MatchResult.WHOLE;
    }
    boolean isPrefix = expected.startsWith(last) || (END + expected).startsWith(last);
    return isPrefix ? MatchResult.TRUNCATED : MatchResult.FOREIGN;
  }

  private String word(int index) {
    return String.format(Locale.ROOT, "%08x", mix(seed + index) >>> Integer.SIZE);
  }

  /** The finaliser of SplitMix64. */
  private static long mix(long value) {
    long mixed = (value ^ (value >>> 30)) * 0xbf58476d1ce4e5b9L;
    mixed = (mixed ^ (mixed >>> 27)) * 0x94d049bb133111ebL;
    return mixed ^ (mixed >>> 31);
  }
}
