package io.samphiredyke.bench.decisions;

/**
 * A class of requests in a workload.
 *
 * @param service name of the service
 * @param tierRank rank of its tier
 * @param share fraction of all requests that belong to this class
 * @param systemTokens length of the prompt prefix shared by all requests of the service, in tokens
 * @param documentTokens median length of the document after the prefix, in tokens
 * @param reuse probability that the document was part of an earlier request
 * @param answerTokens median length of the response, in tokens
 * @param deadlineSeconds time within which the complete response is needed
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
    return SimulatedClock.seconds(deadlineSeconds);
  }

  RequestClass withDeadlineSeconds(double seconds) {
    return new RequestClass(
        service, tierRank, share, systemTokens, documentTokens, reuse, answerTokens, seconds);
  }

  int maximumAnswerTokens() {
    return answerTokens * 4;
  }
}
