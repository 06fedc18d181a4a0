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
 * <p>The owner is a live host in a permitted data centre, in the region of the host that was asked
 * if there is one. Its successors are other hosts, permitted ones, the same region and other data
 * centres first, so that the loss of one data centre leaves two of the three and regions that lose
 * each other go on by themselves. All methods run on the control loop.
 */
final class TicketIssuer {

  /**
   * What a caller is told.
   *
   * @param addresses where to send requests, the first one first
   * @param ticket the ticket for the ids of the requests
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

  /** Returns addresses and a ticket, or null if no live host may take the service's payload. */
  @Nullable AddressResponse issue(Customer customer, Service service) {
    List<Member> permitted = candidates(service, true);
    if (permitted.isEmpty()) {
      return null;
    }
    List<Member> near = inOwnRegion(permitted);
    List<Member> owners = near.isEmpty() ? permitted : near;
    Member owner = owners.get(random.nextInt(owners.size()));
    Ticket ticket = ticket(owner, customer, service);
    String token = context.tickets().encode(ticket);
    List<String> addresses = ProblemFactory.callerAddresses(context, ticket, Ticket.OWNER);
    return new AddressResponse(addresses, token, context.ticketLifetime().toSeconds());
  }

  /**
   * Returns where callers may send what is misdirected here: the members of the ticket's chain, or
   * without a ticket the live hosts that may take all of the services.
   */
  List<String> addressesFor(MisdirectedException misdirected) {
    Ticket ticket = misdirected.ticket();
    if (ticket != null) {
      return ProblemFactory.callerAddresses(context, ticket, Ticket.OWNER);
    }
    return shuffled(context.membership().liveMembers()).stream()
        .filter(member -> member.state() == MemberState.ALIVE && !member.draining())
        .filter(member -> mayTakeAll(member, misdirected.services()))
        .map(Member::callerAddress)
        .toList();
  }

  private static boolean mayTakeAll(Member member, List<Service> services) {
    return services.stream()
        .allMatch(service -> service.dataCentres().contains(member.dataCentre()));
  }

  /** Returns a ticket whose owner is this process. */
  Ticket ownTicket(Customer customer, Service service) {
    return ticket(self(), customer, service);
  }

  /** Returns whether every host of a ticket's chain still runs and stays. */
  boolean isChainWhole(Ticket ticket) {
    return ticket.chain().stream().allMatch(this::stays);
  }

  private boolean stays(ChainMember member) {
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
        .orElseThrow(() -> new IllegalStateException("a process knows itself"));
  }

  private Ticket ticket(Member owner, Customer customer, Service service) {
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

  /** Adds successors until the chain is full, those in data centres not yet in the chain first. */
  private void addSuccessors(List<Member> chain, List<Member> candidates) {
    List<Member> shuffled = shuffled(candidates);
    for (Member candidate : shuffled) {
      boolean isElsewhere =
          chain.stream().noneMatch(m -> m.dataCentre().equals(candidate.dataCentre()));
      if (isElsewhere) {
        addIfRoom(chain, candidate);
      }
    }
    shuffled.forEach(candidate -> addIfRoom(chain, candidate));
  }

  private static void addIfRoom(List<Member> chain, Member candidate) {
    boolean isKnown = chain.stream().anyMatch(m -> m.incarnation().equals(candidate.incarnation()));
    if (!isKnown && chain.size() < Ticket.MAX_CHAIN_MEMBERS) {
      chain.add(candidate);
    }
  }

  /** Returns the members in the region of this host; a region that is cut off decides alone. */
  private List<Member> inOwnRegion(List<Member> members) {
    String own = region(context.host().dataCentre());
    return members.stream().filter(member -> region(member.dataCentre()).equals(own)).toList();
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
