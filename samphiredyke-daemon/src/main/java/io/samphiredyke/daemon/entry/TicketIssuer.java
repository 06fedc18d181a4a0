package io.samphiredyke.daemon.entry;

import com.fasterxml.jackson.annotation.JsonProperty;
import io.samphiredyke.core.config.Customer;
import io.samphiredyke.core.config.DataCentre;
import io.samphiredyke.core.config.Service;
import io.samphiredyke.core.membership.Member;
import io.samphiredyke.core.membership.MemberState;
import io.samphiredyke.core.ownership.ChainMember;
import io.samphiredyke.core.ownership.Incarnation;
import io.samphiredyke.core.ownership.Ticket;
import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;

/**
 * Chooses the hosts for a customer's requests and issues tickets that name them.
 *
 * <p>A ticket names a chain of hosts: the owner and its successors. The owner is a live host in a
 * permitted data centre, preferably in the region of this host. Successors are chosen in this
 * order: permitted hosts before others, the own region before others, and data centres that are not
 * yet in the chain before others. So the loss of one data centre leaves two of three chain members,
 * and regions that are partitioned from each other continue independently. All methods run on the
 * control loop.
 */
final class TicketIssuer {

  /**
   * The response to a caller that asks for addresses.
   *
   * @param addresses the hosts to send requests to, in order of preference
   * @param ticket the ticket from which the caller builds its request ids
   * @param expiresInSeconds how long the ticket is valid
   */
  record AddressResponse(
      @JsonProperty("addresses") List<String> addresses,
      @JsonProperty("ticket") String ticket,
      @JsonProperty("expiresInSeconds") long expiresInSeconds) {}

  private final EntryContext context;
  private final RandomGenerator random;

  TicketIssuer(EntryContext context, RandomGenerator random) {
    this.context = context;
    this.random = random;
  }

  /** Returns addresses and a ticket, or null if no live host may process the service's requests. */
  @Nullable AddressResponse issue(Customer customer, Service service) {
    List<Member> permitted = candidates(service, true);
    if (permitted.isEmpty()) {
      return null;
    }
    List<Member> local = inOwnRegion(permitted);
    List<Member> owners = local.isEmpty() ? permitted : local;
    Member owner = owners.get(random.nextInt(owners.size()));
    Ticket ticket = newTicket(owner, customer, service);
    String token = context.tickets().encode(ticket);
    List<String> addresses = ProblemFactory.callerAddresses(context, ticket, Ticket.OWNER);
    return new AddressResponse(addresses, token, context.ticketLifetime().toSeconds());
  }

  /**
   * Returns the addresses for a misdirected request: the members of the ticket's chain, or without
   * a ticket the live hosts that may process all of the services.
   */
  List<String> addressesFor(MisdirectedException misdirected) {
    Ticket ticket = misdirected.ticket();
    if (ticket != null) {
      return ProblemFactory.callerAddresses(context, ticket, Ticket.OWNER);
    }
    return shuffled(context.membership().liveMembers()).stream()
        .filter(member -> member.state() == MemberState.ALIVE && !member.draining())
        .filter(member -> isPermittedForAll(member, misdirected.services()))
        .map(Member::callerAddress)
        .toList();
  }

  private static boolean isPermittedForAll(Member member, List<Service> services) {
    return services.stream()
        .allMatch(service -> service.dataCentres().contains(member.dataCentre()));
  }

  /** Issues a ticket whose owner is this host. */
  Ticket ownTicket(Customer customer, Service service) {
    return newTicket(self(), customer, service);
  }

  /** Returns whether every host of a ticket's chain is alive, not restarted and not draining. */
  boolean isChainAvailable(Ticket ticket) {
    return ticket.chain().stream().allMatch(this::isAvailable);
  }

  private boolean isAvailable(ChainMember member) {
    return context
        .membership()
        .find(member.address())
        .filter(known -> known.incarnation().toString().equals(member.incarnation().toString()))
        .filter(known -> known.state() == MemberState.ALIVE && !known.draining())
        .isPresent();
  }

  private Member self() {
    return context
        .membership()
        .find(context.host().peerAddress())
        .orElseThrow(
            () -> new IllegalStateException("the local host is not in its own membership"));
  }

  private Ticket newTicket(Member owner, Customer customer, Service service) {
    List<Member> chain = new ArrayList<>();
    chain.add(owner);
    addSuccessors(chain, inOwnRegion(candidates(service, true)));
    addSuccessors(chain, candidates(service, true));
    addSuccessors(chain, inOwnRegion(candidates(service, false)));
    addSuccessors(chain, candidates(service, false));
    List<ChainMember> members = chain.stream().map(member -> chainMember(member, service)).toList();
    long now = context.loop().epochMillis();
    return new Ticket(
        Incarnation.random(random),
        members,
        customer.name(),
        service.name(),
        now,
        now + context.ticketLifetime().toMillis());
  }

  /** Adds successors until the chain is full, first those in data centres not yet in the chain. */
  private void addSuccessors(List<Member> chain, List<Member> candidates) {
    List<Member> shuffled = shuffled(candidates);
    for (Member candidate : shuffled) {
      boolean isInNewDataCentre =
          chain.stream().noneMatch(m -> m.dataCentre().equals(candidate.dataCentre()));
      if (isInNewDataCentre) {
        addIfNotFull(chain, candidate);
      }
    }
    shuffled.forEach(candidate -> addIfNotFull(chain, candidate));
  }

  private static void addIfNotFull(List<Member> chain, Member candidate) {
    boolean isInChain =
        chain.stream().anyMatch(m -> m.incarnation().equals(candidate.incarnation()));
    if (!isInChain && chain.size() < Ticket.MAX_CHAIN_MEMBERS) {
      chain.add(candidate);
    }
  }

  /**
   * Returns the members in the region of this host. Preferring them lets a region that is
   * partitioned from the others process requests on its own.
   */
  private List<Member> inOwnRegion(List<Member> members) {
    String ownRegion = region(context.host().dataCentre());
    return members.stream()
        .filter(member -> region(member.dataCentre()).equals(ownRegion))
        .toList();
  }

  private String region(String dataCentre) {
    return context
        .configuration()
        .get()
        .dataCentre(dataCentre)
        .map(DataCentre::region)
        .orElse(dataCentre);
  }

  private List<Member> shuffled(List<Member> members) {
    List<Member> shuffled = new ArrayList<>(members);
    for (int i = shuffled.size() - 1; i > 0; i--) {
      int j = random.nextInt(i + 1);
      Member swapped = shuffled.get(i);
      shuffled.set(i, shuffled.get(j));
      shuffled.set(j, swapped);
    }
    return shuffled;
  }

  private List<Member> candidates(Service service, boolean permitted) {
    return context.membership().liveMembers().stream()
        .filter(member -> member.state() == MemberState.ALIVE && !member.draining())
        .filter(member -> service.dataCentres().contains(member.dataCentre()) == permitted)
        .toList();
  }

  private static ChainMember chainMember(Member member, Service service) {
    return new ChainMember(
        Incarnation.parse(member.incarnation().toString()),
        member.address(),
        service.dataCentres().contains(member.dataCentre()));
  }
}
