package io.samphiredyke.core.broker;

/**
 * A request's wish to run on one endpoint, sent by its entry to the endpoint's broker.
 *
 * <p>Holds sizes only, never content. Times are nanoseconds of the monotonic clock of the process
 * that holds the claim; they travel between processes as remaining time.
 *
 * @param requestId id of the request
 * @param attempt number of the attempt, counted from zero
 * @param requester incarnation of the entry that made the claim
 * @param endpoint name of the endpoint
 * @param service name of the service
 * @param customer name of the customer
 * @param tierRank rank of the tier, 0 is the most important
 * @param customerWeight weight of the customer inside its tier, at least 1
 * @param deadline time by which the whole answer must have been received
 * @param promptTokens estimated tokens of the prompt
 * @param cachedTokens tokens of the prompt that the endpoint is expected to hold in its cache
 * @param outputTokens estimated tokens of the answer
 * @param outputTokensBound tokens that the answer is very likely to stay under
 * @param receivedAt time at which the entry received the request
 * @param grantNotBefore time before which the broker must not grant the claim because a better
 *     endpoint is expected to grant it by then
 */
public record SlotRequest(
    String requestId,
    int attempt,
    String requester,
    String endpoint,
    String service,
    String customer,
    int tierRank,
    int customerWeight,
    long deadline,
    int promptTokens,
    int cachedTokens,
    int outputTokens,
    int outputTokensBound,
    long receivedAt,
    long grantNotBefore) {

  /** Returns the key of the claim. */
  public SlotRequestKey key() {
    return new SlotRequestKey(requestId, attempt);
  }

  /** Returns the prompt tokens that the endpoint must prefill. */
  public int uncachedTokens() {
    return Math.max(0, promptTokens - cachedTokens);
  }

  /** Returns a builder without values. */
  public static Builder builder() {
    return new Builder();
  }

  /** Returns a builder that holds the values of this claim. */
  public Builder toBuilder() {
    return new Builder()
        .requestId(requestId)
        .attempt(attempt)
        .requester(requester)
        .endpoint(endpoint)
        .service(service)
        .customer(customer)
        .tierRank(tierRank)
        .customerWeight(customerWeight)
        .deadline(deadline)
        .promptTokens(promptTokens)
        .cachedTokens(cachedTokens)
        .outputTokens(outputTokens)
        .outputTokensBound(outputTokensBound)
        .receivedAt(receivedAt)
        .grantNotBefore(grantNotBefore);
  }

  /** Builds a {@link SlotRequest}. */
  public static final class Builder {

    private String requestId = "";
    private int attempt;
    private String requester = "";
    private String endpoint = "";
    private String service = "";
    private String customer = "";
    private int tierRank;
    private int customerWeight = 1;
    private long deadline = Long.MAX_VALUE;
    private int promptTokens;
    private int cachedTokens;
    private int outputTokens;
    private int outputTokensBound;
    private long receivedAt;
    private long grantNotBefore = Long.MIN_VALUE;

    private Builder() {}

    /** Sets the id of the request. */
    public Builder requestId(String value) {
      requestId = value;
      return this;
    }

    /** Sets the number of the attempt. */
    public Builder attempt(int value) {
      attempt = value;
      return this;
    }

    /** Sets the incarnation of the entry. */
    public Builder requester(String value) {
      requester = value;
      return this;
    }

    /** Sets the name of the endpoint. */
    public Builder endpoint(String value) {
      endpoint = value;
      return this;
    }

    /** Sets the name of the service. */
    public Builder service(String value) {
      service = value;
      return this;
    }

    /** Sets the name of the customer. */
    public Builder customer(String value) {
      customer = value;
      return this;
    }

    /** Sets the rank of the tier, 0 is the most important. */
    public Builder tierRank(int value) {
      tierRank = value;
      return this;
    }

    /** Sets the weight of the customer inside its tier. */
    public Builder customerWeight(int value) {
      customerWeight = value;
      return this;
    }

    /** Sets the time by which the whole answer must have been received. */
    public Builder deadline(long value) {
      deadline = value;
      return this;
    }

    /** Sets the estimated tokens of the prompt. */
    public Builder promptTokens(int value) {
      promptTokens = value;
      return this;
    }

    /** Sets the tokens expected in the endpoint's cache. */
    public Builder cachedTokens(int value) {
      cachedTokens = value;
      return this;
    }

    /** Sets the estimated tokens of the answer. */
    public Builder outputTokens(int value) {
      outputTokens = value;
      return this;
    }

    /** Sets the tokens that the answer is very likely to stay under. */
    public Builder outputTokensBound(int value) {
      outputTokensBound = value;
      return this;
    }

    /** Sets the time at which the entry received the request. */
    public Builder receivedAt(long value) {
      receivedAt = value;
      return this;
    }

    /** Sets the time before which the claim must not be granted. */
    public Builder grantNotBefore(long value) {
      grantNotBefore = value;
      return this;
    }

    /** Returns the claim. */
    public SlotRequest build() {
      return new SlotRequest(
          requestId,
          attempt,
          requester,
          endpoint,
          service,
          customer,
          tierRank,
          Math.max(1, customerWeight),
          deadline,
          promptTokens,
          cachedTokens,
          outputTokens,
          Math.max(outputTokens, outputTokensBound),
          receivedAt,
          grantNotBefore);
    }
  }
}
