package io.samphiredyke.core.routing;

import com.dynatrace.hash4j.hashing.HashStream64;
import com.dynatrace.hash4j.hashing.Hashing;
import java.util.Arrays;

/**
 * Fingerprint of a prompt: chained hashes of its blocks.
 *
 * <p>Each hash covers the block and all blocks before it, so two prompts share a prefix of n whole
 * blocks exactly when their first n hashes are equal. A partial last block is left out.
 */
public final class PromptFingerprint {

  /** Characters in one block. */
  public static final int BLOCK_CHARS = 256;

  private static final int BLOCKS_MAXIMUM = 1024;

  private final long[] hashes;
  private final int blockChars;
  private final int chars;

  private PromptFingerprint(long[] hashes, int blockChars, int chars) {
    this.hashes = hashes;
    this.blockChars = blockChars;
    this.chars = chars;
  }

  /** Returns the fingerprint of a prompt. */
  public static PromptFingerprint of(CharSequence prompt) {
    int blocks = Math.min(BLOCKS_MAXIMUM, prompt.length() / BLOCK_CHARS);
    long[] hashes = new long[blocks];
    HashStream64 stream = Hashing.komihash5_0().hashStream();
    long previous = 0;
    for (int block = 0; block < blocks; block++) {
      stream.reset();
      stream.putLong(previous);
      int start = block * BLOCK_CHARS;
      stream.putChars(prompt.subSequence(start, start + BLOCK_CHARS));
      previous = stream.getAsLong();
      hashes[block] = previous;
    }
    return new PromptFingerprint(hashes, BLOCK_CHARS, prompt.length());
  }

  /**
   * Returns a fingerprint of given hashes, for engines that publish their hash function.
   *
   * @param hashes chained hashes of the whole blocks
   * @param blockChars length of a block, characters
   * @param chars length of the prompt, characters
   */
  public static PromptFingerprint ofHashes(long[] hashes, int blockChars, int chars) {
    return new PromptFingerprint(hashes.clone(), blockChars, chars);
  }

  /** Returns the number of whole blocks. */
  public int blocks() {
    return hashes.length;
  }

  /** Returns the hash of the prompt up to and including the given block. */
  public long hash(int block) {
    return hashes[block];
  }

  /** Returns the fraction of the prompt that the first blocks cover, from 0 to 1. */
  public double share(int blockCount) {
    return chars == 0 ? 0 : Math.min(1, (double) blockCount * blockChars / chars);
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof PromptFingerprint that
        && blockChars == that.blockChars
        && chars == that.chars
        && Arrays.equals(hashes, that.hashes);
  }

  @Override
  public int hashCode() {
    return 31 * chars + Arrays.hashCode(hashes);
  }
}
