package io.samphiredyke.bench.capacity;

import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.samphiredyke.core.invariant.InvariantChecker;
import io.samphiredyke.core.ownership.Incarnation;
import io.samphiredyke.core.ownership.OwnershipEvent;
import io.samphiredyke.core.ownership.OwnershipStateMachine;
import io.samphiredyke.core.ownership.RegisterLimits;
import io.samphiredyke.core.ownership.RegisterOperation;
import io.samphiredyke.core.ownership.RequestId;
import io.samphiredyke.core.ownership.Ticket;
import io.samphiredyke.core.ownership.TicketException;
import io.samphiredyke.core.ownership.WitnessRegister;
import io.samphiredyke.daemon.admin.Metrics;
import io.samphiredyke.daemon.response.MemoryBudget;
import io.samphiredyke.daemon.response.ResponseBuffer;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.lang.ref.Reference;

/** Costs of requests: tickets, ownership, registers, answers and their metrics. */
final class RequestCosts {

  private static final int REQUESTS = 20_000;
  private static final int ANSWERS = 500;
  private static final int ANSWER_PARTS = 200;
  private static final int PART_BYTES = 240;
  private static final int CLASSES = 500;
  private static final long SAMPLE_NANOS = 40_000_000;

  private final Meter meter;
  private final Samples samples = new Samples();
  private final Ticket ticket = samples.ticket(1);
  private final String token = samples.tickets().encode(ticket);

  RequestCosts(Meter meter) {
    this.meter = meter;
  }

  void measure() throws IOException {
    String part = "answer kept, per part of " + PART_BYTES + " B";
    meter.heap(part, ANSWERS, ANSWER_PARTS, i -> answer());
    meter.add(new Slope("request id", id(1_000).toString().length(), Slope.BYTES_SENT, 1));
    meter.time("ticket: encode", REQUESTS, i -> samples.tickets().encode(ticket));
    meter.time("ticket: decode and verify", REQUESTS, i -> decode());
    meter.heap("request remembered by its owner, decisions", REQUESTS, this::finishedRequest);
    measureRegister();
    measureMetrics();
  }

  private RequestId id(long sequence) {
    return new RequestId(token, sequence);
  }

  private void decode() {
    try {
      samples.tickets().decode(token, Samples.NOW);
    } catch (TicketException e) {
      throw new IllegalStateException(e);
    }
  }

  /** The caller's id is text of its own, as it comes with each request; so is its ticket. */
  private Object finishedRequest(int number) {
    Ticket own = samples.ticket(number);
    Incarnation self = own.chain().get(Ticket.OWNER).incarnation();
    OwnershipStateMachine machine =
        new OwnershipStateMachine(own, self, InvariantChecker.throwing());
    machine.handle(new OwnershipEvent.Submitted(Samples.DIGEST + number));
    machine.handle(new OwnershipEvent.Granted(Samples.endpoint(number % 870)));
    return new Object[] {samples.tickets().encode(own) + "." + number, machine};
  }

  private void measureRegister() {
    RegisterLimits limits = new RegisterLimits(4 * REQUESTS, 4 * REQUESTS);
    Incarnation witness = ticket.chain().get(Ticket.FIRST_SUCCESSOR).incarnation();
    Incarnation owner = ticket.chain().get(Ticket.OWNER).incarnation();
    WitnessRegister register = new WitnessRegister(witness, limits, InvariantChecker.throwing());
    long before = meter.usedHeap();
    meter.time(
        "register: write an intent",
        REQUESTS,
        i -> {
          String endpoint = Samples.endpoint(i % 870);
          RegisterOperation intent = new RegisterOperation.Intent(1, endpoint, Samples.DIGEST + i);
          register.apply(id(i), ticket, owner, intent, Samples.NOW);
        });
    meter.addHeap("register of a request", register.size(), meter.usedHeap() - before);
    Reference.reachabilityFence(register);
  }

  private static Object answer() {
    ResponseBuffer buffer = new ResponseBuffer(new MemoryBudget(Long.MAX_VALUE), Long.MAX_VALUE);
    for (int part = 1; part <= ANSWER_PARTS; part++) {
      buffer.add(part, new byte[PART_BYTES]);
    }
    buffer.complete();
    return buffer;
  }

  private void measureMetrics() throws IOException {
    Metrics metrics = new Metrics();
    long before = meter.usedHeap();
    for (int i = 0; i < CLASSES; i++) {
      String customer = Samples.customer(i);
      metrics.recordQueueWait("tier-0", customer, SAMPLE_NANOS);
      metrics.recordTimeToFirstToken("tier-0", customer, SAMPLE_NANOS);
      metrics.recordInterTokenLatency("tier-0", customer, SAMPLE_NANOS);
      metrics.recordCompletion("tier-0", customer, "completed", SAMPLE_NANOS);
    }
    meter.addHeap("metrics of a customer in a tier", CLASSES, meter.usedHeap() - before);
    ByteArrayOutputStream page = new ByteArrayOutputStream();
    PrometheusTextFormatWriter.create().write(page, metrics.registry().scrape());
    double bytes = (double) page.size() / CLASSES;
    meter.add(new Slope("metrics page, a customer in a tier", bytes, Slope.BYTES_SENT, CLASSES));
    meter.time(
        "metrics of a request",
        REQUESTS,
        i -> {
          metrics.recordQueueWait("tier-0", Samples.customer(i % CLASSES), SAMPLE_NANOS);
          metrics.recordTimeToFirstToken("tier-0", Samples.customer(i % CLASSES), SAMPLE_NANOS);
          metrics.recordInterTokenLatency("tier-0", Samples.customer(i % CLASSES), SAMPLE_NANOS);
          metrics.recordCompletion(
              "tier-0", Samples.customer(i % CLASSES), "completed", SAMPLE_NANOS);
        });
    Reference.reachabilityFence(metrics);
  }
}
