package io.samphiredyke.core.config;

/**
 * Default values for the services of a deployment, and its deployment-wide settings.
 *
 * @param name always {@link Defaults#NAME}
 * @param deadlineMillis the time for a complete response, in milliseconds
 * @param firstTokenMillis the latency objective of the first token, in milliseconds
 * @param tokenIntervalMillis the objective for the time between tokens, in milliseconds
 * @param outputTokensHint the expected output tokens of a response
 * @param resumeWindowMillis how long a response is kept for a caller that lost its connection, in
 *     milliseconds
 * @param ticketSeconds how long a ticket is valid, in seconds
 */
public record Defaults(
    String name,
    long deadlineMillis,
    long firstTokenMillis,
    long tokenIntervalMillis,
    int outputTokensHint,
    long resumeWindowMillis,
    int ticketSeconds)
    implements Item {

  /** The only name of this item. */
  public static final String NAME = "defaults";

  @Override
  public ItemKind itemKind() {
    return ItemKind.DEFAULTS;
  }

  /** Returns a builder with default values. */
  public static Builder builder() {
    return new Builder();
  }

  /** Returns a builder with the values of this item. */
  public Builder toBuilder() {
    Builder builder = new Builder();
    builder.name = name;
    builder.deadlineMillis = deadlineMillis;
    builder.firstTokenMillis = firstTokenMillis;
    builder.tokenIntervalMillis = tokenIntervalMillis;
    builder.outputTokensHint = outputTokensHint;
    builder.resumeWindowMillis = resumeWindowMillis;
    builder.ticketSeconds = ticketSeconds;
    return builder;
  }

  /** Builds {@link Defaults}. */
  public static final class Builder {
    private String name = Defaults.NAME;
    private long deadlineMillis = 60_000L;
    private long firstTokenMillis = 800L;
    private long tokenIntervalMillis = 54L;
    private int outputTokensHint = 256;
    private long resumeWindowMillis = 30_000L;
    private int ticketSeconds = 300;

    private Builder() {}

    /** Sets the name, which must be {@link Defaults#NAME}. */
    public Builder name(String name) {
      this.name = name;
      return this;
    }

    /** Sets the time for a complete response, in milliseconds. */
    public Builder deadlineMillis(long deadlineMillis) {
      this.deadlineMillis = deadlineMillis;
      return this;
    }

    /** Sets the latency objective of the first token, in milliseconds. */
    public Builder firstTokenMillis(long firstTokenMillis) {
      this.firstTokenMillis = firstTokenMillis;
      return this;
    }

    /** Sets the objective for the time between tokens, in milliseconds. */
    public Builder tokenIntervalMillis(long tokenIntervalMillis) {
      this.tokenIntervalMillis = tokenIntervalMillis;
      return this;
    }

    /** Sets the expected output tokens of a response. */
    public Builder outputTokensHint(int outputTokensHint) {
      this.outputTokensHint = outputTokensHint;
      return this;
    }

    /** Sets how long a response is kept for a caller that lost its connection, in milliseconds. */
    public Builder resumeWindowMillis(long resumeWindowMillis) {
      this.resumeWindowMillis = resumeWindowMillis;
      return this;
    }

    /** Sets how long a ticket is valid, in seconds. */
    public Builder ticketSeconds(int ticketSeconds) {
      this.ticketSeconds = ticketSeconds;
      return this;
    }

    /** Returns the defaults. */
    public Defaults build() {
      return new Defaults(
          name,
          deadlineMillis,
          firstTokenMillis,
          tokenIntervalMillis,
          outputTokensHint,
          resumeWindowMillis,
          ticketSeconds);
    }
  }
}
