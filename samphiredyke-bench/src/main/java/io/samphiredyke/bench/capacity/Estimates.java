package io.samphiredyke.bench.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/** Estimates the resource use of a host at a deployment size from measured unit costs. */
final class Estimates {

  private static final double BYTES_PER_MIB = 1024 * 1024;
  private static final double BYTES_PER_KIB = 1024;
  private static final double MICROS_PER_PERCENT = 10_000;
  private static final double SECONDS_PER_DAY = 86_400;
  private static final int SLOT_REQUESTS_PER_REQUEST = 2;
  private static final String MIB = "MiB";
  private static final String KIB_PER_SECOND = "KiB/s";
  private static final String PERCENT = "% of a core";

  private final TargetSize size;
  private final Map<String, Double> costs;
  private final List<Estimate> estimates = new ArrayList<>();

  private Estimates(List<UnitCost> unitCosts, TargetSize size) {
    this.size = size;
    this.costs = unitCosts.stream().collect(Collectors.toMap(UnitCost::name, UnitCost::value));
  }

  static List<Estimate> of(List<UnitCost> unitCosts, TargetSize size) {
    Estimates estimates = new Estimates(unitCosts, size);
    estimates.addControlPlane();
    estimates.addWitness();
    estimates.addBroker();
    estimates.addEntry();
    estimates.addMessages();
    return estimates.estimates;
  }

  private double cost(String name) {
    Double value = costs.get(name);
    if (value == null) {
      throw new IllegalArgumentException("no measured cost named " + name);
    }
    return value;
  }

  private void add(String role, String what, String formula, double value, String unit) {
    estimates.add(new Estimate(role, what, formula, value, unit));
  }

  private void addControlPlane() {
    int items = size.customers() + size.services() + size.endpoints();
    int totalItems = items + size.dataCentres() + size.tiers();
    double configuration = cost("configuration, per item") * totalItems / BYTES_PER_MIB;
    add("control", "configuration", totalItems + " items", configuration, MIB);
    double members = cost("member in the view of a host") * size.hosts() / BYTES_PER_MIB;
    add("control", "members", size.hosts() + " members", members, MIB);
    double customerTiers = (double) size.customers() * size.tiers();
    double metrics = cost("metrics of a customer in a tier") * customerTiers / BYTES_PER_MIB;
    add("control", "metrics, each customer in each tier", customerTiers + " classes", metrics, MIB);
    double gossip = cost("gossip of a host for a second, idle") / BYTES_PER_KIB;
    add("control", "gossip sent, idle", "1 host", gossip, KIB_PER_SECOND);
    double gossipTime = cost("gossip of a host for a second, decisions") / MICROS_PER_PERCENT;
    add("control", "gossip, decisions", "1 host", gossipTime, PERCENT);
    double changes = size.changesPerDay() / SECONDS_PER_DAY;
    double change = cost("change: decode") + cost("change: apply at the target size");
    add("control", "changes", "changes/s", changes * change / MICROS_PER_PERCENT, PERCENT);
    double log = changes * cost("change of a customer, on the log") / BYTES_PER_KIB;
    add("control", "changes read", "changes/s", log, KIB_PER_SECOND);
  }

  private void addWitness() {
    double registers =
        cost("register of a request") * size.retainedRequestsPerHost() / BYTES_PER_MIB;
    add("witness", "registers", "requests/s x ticket lifetime", registers, MIB);
    double writes = 2 * cost("register: write an intent") * size.requestsPerHost();
    add("witness", "writes", "2 writes x requests/s", writes / MICROS_PER_PERCENT, PERCENT);
  }

  private void addBroker() {
    double brokers = cost("broker of an endpoint") * size.endpointsPerHost() / BYTES_PER_MIB;
    add("broker", "brokers", "endpoints / hosts", brokers, MIB);
    double fullQueues = cost("claim at a broker") * size.endpointsPerHost() * 1024 / BYTES_PER_MIB;
    add("broker", "full queues", "endpoints / hosts x 1024 claims", fullQueues, MIB);
    double requestCost = cost("broker: claim, grant, first token, release");
    double time = SLOT_REQUESTS_PER_REQUEST * requestCost * size.requestsPerHost();
    add("broker", "claims", "2 claims x requests/s", time / MICROS_PER_PERCENT, PERCENT);
  }

  private void addEntry() {
    double retainedCost = cost("request remembered by its owner, decisions");
    double bytes = retainedCost * size.retainedRequestsPerHost() / BYTES_PER_MIB;
    add("entry", "requests remembered", "requests/s x ticket lifetime", bytes, MIB);
    double keptParts = size.tokensPerHost() * 60;
    double answers = cost("answer kept, per part of 240 B") * keptParts / BYTES_PER_MIB;
    add("entry", "answers kept for 60 s", "tokens/s x 60 s", answers, MIB);
    double perRequest =
        cost("ticket: encode")
            + 4 * cost("ticket: decode and verify")
            + cost("metrics of a request");
    double time = perRequest * size.requestsPerHost() / MICROS_PER_PERCENT;
    add("entry", "tickets and metrics", "requests/s", time, PERCENT);
  }

  /**
   * Adds the messages of a host that is the entry for its share of requests, and broker and witness
   * for the same number.
   */
  private void addMessages() {
    double acks = 6 * cost("message Acknowledgement");
    double claims = SLOT_REQUESTS_PER_REQUEST * cost("message Claim") + cost("message Withdraw");
    double grant = cost("message Grant") + cost("message FirstToken") + cost("message Release");
    double write = cost("message WriteRegister (intent)") + cost("message RegisterReply");
    double perRequest = acks + claims + grant + 2 * write;
    add("messages", "bytes of a request", "16 messages", perRequest, "B");
    double rate = perRequest * size.requestsPerHost() / BYTES_PER_KIB;
    add("messages", "bytes sent for requests", "requests/s", rate, KIB_PER_SECOND);
    double time = messageTime() * size.requestsPerHost() / MICROS_PER_PERCENT;
    add("messages", "encoded and decoded", "requests/s", time, PERCENT);
  }

  private double messageTime() {
    String suffix = ": encode and decode";
    double acks = 6 * cost("message Acknowledgement" + suffix);
    double claims = SLOT_REQUESTS_PER_REQUEST * cost("message Claim" + suffix);
    double withdraw = cost("message Withdraw" + suffix);
    double grant = cost("message Grant" + suffix);
    double release = cost("message FirstToken" + suffix) + cost("message Release" + suffix);
    double write = cost("message WriteRegister (intent)" + suffix);
    double reply = cost("message RegisterReply" + suffix);
    return acks + claims + withdraw + grant + release + 2 * (write + reply);
  }
}
