package io.samphiredyke.standins.engine;

import java.time.Duration;

/**
 * Performance and capacity of an engine.
 *
 * @param batchLimit the maximum number of sequences in the batch
 * @param prefillRate the tokens prefilled per second
 * @param decodeRate the tokens generated per second by a batch of one sequence
 * @param batchSlowdown the fraction by which each additional decoding sequence lengthens a decode
 *     step
 * @param prefillChunk the maximum number of tokens prefilled per step
 * @param blockTokens the tokens per block of the prefix cache
 * @param cacheBlocks the capacity of the prefix cache, in blocks
 * @param loadLag the delay of load reports
 */
public record EngineOptions(
    int batchLimit,
    double prefillRate,
    double decodeRate,
    double batchSlowdown,
    int prefillChunk,
    int blockTokens,
    int cacheBlocks,
    Duration loadLag) {

  /**
   * Validates the ranges.
   *
   * @throws IllegalArgumentException if a value is out of range
   */
  public EngineOptions {
    requirePositive("batchLimit", batchLimit);
    requirePositive("prefillRate", prefillRate);
    requirePositive("decodeRate", decodeRate);
    requirePositive("prefillChunk", prefillChunk);
    requirePositive("blockTokens", blockTokens);
    if (cacheBlocks < 0 || batchSlowdown < 0 || loadLag.isNegative()) {
      throw new IllegalArgumentException(
          "cacheBlocks, batchSlowdown and loadLag must not be negative");
    }
  }

  private static void requirePositive(String name, double value) {
    if (!(value > 0)) {
      throw new IllegalArgumentException(name + " is " + value + ", must be positive");
    }
  }

  /** Returns a builder with default values. */
  public static Builder builder() {
    return new Builder();
  }

  /** Builds {@link EngineOptions}. */
  public static final class Builder {
    private int batchLimit = 16;
    private double prefillRate = 8_000;
    private double decodeRate = 50;
    private double batchSlowdown = 0.02;
    private int prefillChunk = 512;
    private int blockTokens = 16;
    private int cacheBlocks = 4_096;
    private Duration loadLag = Duration.ofSeconds(1);

    private Builder() {}

    /** Sets the maximum number of sequences in the batch. */
    public Builder batchLimit(int batchLimit) {
      this.batchLimit = batchLimit;
      return this;
    }

    /** Sets the tokens prefilled per second. */
    public Builder prefillRate(double prefillRate) {
      this.prefillRate = prefillRate;
      return this;
    }

    /** Sets the tokens generated per second by a batch of one sequence. */
    public Builder decodeRate(double decodeRate) {
      this.decodeRate = decodeRate;
      return this;
    }

    /** Sets the fraction by which each additional decoding sequence lengthens a decode step. */
    public Builder batchSlowdown(double batchSlowdown) {
      this.batchSlowdown = batchSlowdown;
      return this;
    }

    /** Sets the maximum number of tokens prefilled per step. */
    public Builder prefillChunk(int prefillChunk) {
      this.prefillChunk = prefillChunk;
      return this;
    }

    /** Sets the tokens per block of the prefix cache. */
    public Builder blockTokens(int blockTokens) {
      this.blockTokens = blockTokens;
      return this;
    }

    /** Sets the capacity of the prefix cache, in blocks. */
    public Builder cacheBlocks(int cacheBlocks) {
      this.cacheBlocks = cacheBlocks;
      return this;
    }

    /** Sets the delay of load reports. */
    public Builder loadLag(Duration loadLag) {
      this.loadLag = loadLag;
      return this;
    }

    /** Returns the options. */
    public EngineOptions build() {
      return new EngineOptions(
          batchLimit,
          prefillRate,
          decodeRate,
          batchSlowdown,
          prefillChunk,
          blockTokens,
          cacheBlocks,
          loadLag);
    }
  }
}
