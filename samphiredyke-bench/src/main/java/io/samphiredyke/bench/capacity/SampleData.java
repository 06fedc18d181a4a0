package io.samphiredyke.bench.capacity;

import io.samphiredyke.core.config.Change;
import io.samphiredyke.core.config.ConfigurationRecord;
import io.samphiredyke.core.config.Customer;
import io.samphiredyke.core.config.DataCentre;
import io.samphiredyke.core.config.Endpoint;
import io.samphiredyke.core.config.Item;
import io.samphiredyke.core.config.Service;
import io.samphiredyke.core.config.Tier;
import io.samphiredyke.core.ownership.ChainMember;
import io.samphiredyke.core.ownership.Incarnation;
import io.samphiredyke.core.ownership.Ticket;
import io.samphiredyke.core.ownership.TicketCodec;
import io.samphiredyke.core.ownership.TicketKey;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;

/** Sample tickets and configuration items with names and addresses of typical length. */
final class SampleData {

  static final long NOW = 1_800_000_000_000L;

  /** SHA-256 digest of a request body in hexadecimal. */
  static final String DIGEST = "0123456789abcdef".repeat(4);

  private static final long SEED = 1;
  private static final long TICKET_MILLIS = 600_000;
  private static final int ENDPOINT_CONCURRENCY = 64;

  private final Random random = new Random(SEED);
  private final TicketCodec tickets =
      new TicketCodec(
          List.of(new TicketKey(1, "0123456789abcdef".getBytes(StandardCharsets.US_ASCII))));

  TicketCodec tickets() {
    return tickets;
  }

  Incarnation incarnation() {
    return Incarnation.random(random);
  }

  static String address(int host) {
    return "10.20." + host / 250 + "." + (1 + host % 250) + ":7800";
  }

  static String dataCentre(int number) {
    return "region-" + (number % 2 + 1) + "-centre-" + (number + 1);
  }

  static String customer(int number) {
    return "customer-number-" + number;
  }

  static String service(int number) {
    return "service-number-" + number;
  }

  static String endpoint(int number) {
    return "engine-" + dataCentre(number % 8) + "-" + number;
  }

  Ticket ticket(int number) {
    List<ChainMember> chain = new ArrayList<>();
    for (int place = 0; place < Ticket.MAX_CHAIN_MEMBERS; place++) {
      chain.add(new ChainMember(incarnation(), address((number + place) % 340), true));
    }
    return new Ticket(
        incarnation(),
        chain,
        customer(number % 990),
        service(number % 28),
        NOW,
        NOW + TICKET_MILLIS);
  }

  /** Returns all items of a deployment in an order in which references precede their users. */
  static List<Item> items(TargetSize size) {
    List<Item> items = new ArrayList<>();
    for (int i = 0; i < size.tiers(); i++) {
      items.add(Tier.builder().name("tier-" + i).rank(i).build());
    }
    for (int i = 0; i < size.dataCentres(); i++) {
      String region = "region-" + (i % 2 + 1);
      items.add(DataCentre.builder().name(dataCentre(i)).region(region).build());
    }
    for (int i = 0; i < size.customers(); i++) {
      items.add(customerItem(i, 1));
    }
    for (int i = 0; i < size.services(); i++) {
      items.add(serviceItem(i, size));
    }
    for (int i = 0; i < size.endpoints(); i++) {
      items.add(endpointItem(i, size));
    }
    return items;
  }

  static Customer customerItem(int number, int weight) {
    String digest = String.format("%064x", number);
    return Customer.builder()
        .name(customer(number))
        .keyDigests(Set.of(digest))
        .weight(weight)
        .build();
  }

  private static Service serviceItem(int number, TargetSize size) {
    return Service.builder()
        .name(service(number))
        .model("model-" + number)
        .dataCentres(Set.of(dataCentre(number % size.dataCentres())))
        .tier("tier-" + number % size.tiers())
        .build();
  }

  private static Endpoint endpointItem(int number, TargetSize size) {
    return Endpoint.builder()
        .name(endpoint(number))
        .address("10.40." + number / 250 + "." + (1 + number % 250) + ":8000")
        .dataCentre(dataCentre(number % size.dataCentres()))
        .models(Set.of("model-" + number % size.services()))
        .maxConcurrency(ENDPOINT_CONCURRENCY)
        .build();
  }

  static ConfigurationRecord record(int number, List<Item> items, long baseVersion) {
    List<Change> changes = items.stream().map(item -> Change.put(item, baseVersion)).toList();
    return ConfigurationRecord.ofChanges("record-" + number, "operator", NOW, changes);
  }
}
