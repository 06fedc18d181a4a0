package io.samphiredyke.standins.engine;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/**
 * The answer that the stand-in engine gives to one request, a function of the request id and the
 * prompt's digest.
 *
 * <p>The seed is the first eight bytes, big-endian, of SHA-256 over {@code id + "\n" + digest} in
 * UTF-8. Token {@code i} (from 1) is the eight hexadecimal digits of the upper half of {@code
 * mix(seed + i)} and a space; the last token is {@code end-} followed by the token's own digits. So
 * the text shows whether it is whole and whose it is, without a known length.
 */
public final class AnswerText {

  private static final String END = "end-";
  private static final int QUARTERS = 4;

  private final long seed;

  private AnswerText(long seed) {
    this.seed = seed;
  }

  /** What a text proves to be. */
  public enum Verdict {
    /** The whole answer to the request. */
    WHOLE,
    /** A proper prefix of the answer, which may be empty. */
    TRUNCATED,
    /** Something that isn't an answer to the request. */
    FOREIGN
  }

  /**
   * Returns the answer to a request.
   *
   * @param id the request id that the engine received
   * @param digest the prompt's digest
   * @see Prompt#digestOf
   */
  public static AnswerText of(String id, String digest) {
    byte[] input = (id + "\n" + digest).getBytes(StandardCharsets.UTF_8);
    return new AnswerText(ByteBuffer.wrap(Prompt.sha256().digest(input)).getLong());
  }

  /** Returns the text of a token, counted from 1, of an answer that is {@code length} tokens. */
  public String token(int index, int length) {
    return index == length ? END + word(index) : word(index) + " ";
  }

  /** Returns the whole text of an answer that is {@code length} tokens. */
  public String whole(int length) {
    StringBuilder text = new StringBuilder();
    for (int i = 1; i <= length; i++) {
      text.append(token(i, length));
    }
    return text.toString();
  }

  /**
   * Returns the length of an answer that ends by itself before its limit: between a quarter of the
   * limit and the limit.
   *
   * @param limit the most tokens
   */
  public int lengthWithin(int limit) {
    int least = (limit + QUARTERS - 1) / QUARTERS;
    return least + (int) Math.floorMod(mix(~seed), (long) (limit - least + 1));
  }

  /** Returns what a received text proves to be. */
  public Verdict check(String text) {
    if (text.isEmpty()) {
      return Verdict.TRUNCATED;
    }
    String[] words = text.split(" ", -1);
    for (int i = 1; i < words.length; i++) {
      if (!words[i - 1].equals(word(i))) {
        return Verdict.FOREIGN;
      }
    }
    String last = words[words.length - 1];
    String expected = word(words.length);
    if (last.equals(END + expected)) {
      return Verdict.WHOLE;
    }
    boolean begun = expected.startsWith(last) || (END + expected).startsWith(last);
    return begun ? Verdict.TRUNCATED : Verdict.FOREIGN;
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
