package io.samphiredyke.bench.decisions;

/**
 * A kind of request.
 *
 * @param service name of the service
 * @param tierRank rank of its tier
 * @param share share of the requests
 * @param systemTokens tokens at the start of the prompt that all requests of the service share
 * @param documentTokens median tokens of the document that follows
 * @param reuse probability that a document was sent before
 * @param answerTokens median tokens of the answer
 * @param deadlineSeconds time within which the whole answer is needed
 */
record RequestClass(
    String service,
    int tierRank,
    double share,
    int systemTokens,
    int documentTokens,
    double reuse,
    int answerTokens,
    double deadlineSeconds) {

  long deadlineNanos() {
    return ModelClock.seconds(deadlineSeconds);
  }

  RequestClass withDeadlineSeconds(double seconds) {
    return new RequestClass(
        service, tierRank, share, systemTokens, documentTokens, reuse, answerTokens, seconds);
  }

  int maximumAnswerTokens() {
    return answerTokens * 4;
  }
}
