package io.samphiredyke.bench.capacity;

/**
 * The size of a deployment.
 *
 * @param hosts entry hosts
 * @param endpoints model runners
 * @param requestsPerSecond requests a second over all hosts
 * @param tokensPerSecond tokens a second over all hosts
 * @param customers customers
 * @param services services
 * @param dataCentres data centres
 * @param tiers tiers
 * @param changesPerDay changes of configuration a day
 * @param ticketSeconds lifetime of a ticket
 */
record TargetSize(
    int hosts,
    int endpoints,
    int requestsPerSecond,
    int tokensPerSecond,
    int customers,
    int services,
    int dataCentres,
    int tiers,
    int changesPerDay,
    int ticketSeconds) {

  /** The size to design for. */
  static final TargetSize PLANNED =
      new TargetSize(340, 870, 18_000, 3_800_000, 990, 28, 8, 4, 950, 600);

  double requestsPerHost() {
    return (double) requestsPerSecond / hosts;
  }

  double tokensPerHost() {
    return (double) tokensPerSecond / hosts;
  }

  double endpointsPerHost() {
    return (double) endpoints / hosts;
  }

  /** Requests that a host remembers: those of tickets not yet expired, at the full rate. */
  double retainedRequestsPerHost() {
    return requestsPerHost() * ticketSeconds;
  }
}
