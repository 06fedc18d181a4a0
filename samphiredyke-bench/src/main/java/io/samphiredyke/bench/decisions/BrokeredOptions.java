package io.samphiredyke.bench.decisions;

/**
 * Options that select a variant of the brokered dispatcher.
 *
 * @param tiers whether brokers receive tiers and customers
 * @param prefixes whether the prefix cache index is used
 * @param parallelSlotRequests slot requests that one request may have outstanding
 * @param holdOff whether slot requests at slower endpoints are delayed
 * @param outputDeviations standard deviations above the median used for the output length estimate
 */
record BrokeredOptions(
    boolean tiers,
    boolean prefixes,
    int parallelSlotRequests,
    boolean holdOff,
    double outputDeviations) {

  /** More slot requests than there are endpoints. */
  private static final int UNLIMITED = 1_000;

  static final BrokeredOptions PRODUCTION = new BrokeredOptions(true, true, UNLIMITED, true, 0.5);

  BrokeredOptions withoutTiers() {
    return new BrokeredOptions(false, prefixes, parallelSlotRequests, holdOff, outputDeviations);
  }

  BrokeredOptions withoutPrefixes() {
    return new BrokeredOptions(tiers, false, parallelSlotRequests, holdOff, outputDeviations);
  }

  BrokeredOptions withParallelSlotRequests(int slotRequests) {
    return new BrokeredOptions(tiers, prefixes, slotRequests, holdOff, outputDeviations);
  }

  BrokeredOptions withoutHoldOff() {
    return new BrokeredOptions(tiers, prefixes, parallelSlotRequests, false, outputDeviations);
  }

  BrokeredOptions withOutputDeviations(double deviations) {
    return new BrokeredOptions(tiers, prefixes, parallelSlotRequests, holdOff, deviations);
  }
}
