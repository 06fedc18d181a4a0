package io.samphiredyke.bench.capacity;

/**
 * Size of a deployment.
 *
 * @param hosts number of entry hosts
 * @param endpoints number of endpoints
 * @param requestsPerSecond request rate of all hosts together
 * @param tokensPerSecond token rate of all hosts together
 * @param customers number of customers
 * @param services number of services
 * @param dataCentres number of data centres
 * @param tiers number of tiers
 * @param changesPerDay configuration changes per day
 * @param ticketSeconds lifetime of a ticket in seconds
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

  /** Deployment size that the system is designed for. */
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

  /** Returns the requests that a host retains until their tickets expire, at the full rate. */
  double retainedRequestsPerHost() {
    return requestsPerHost() * ticketSeconds;
  }
}
