package io.samphiredyke.daemon.entry;

import io.samphiredyke.core.config.Service;
import io.samphiredyke.core.ownership.Ticket;
import io.samphiredyke.net.http.HttpException;
import java.util.List;
import org.jspecify.annotations.Nullable;

/** Thrown for a request that this host may not take; other hosts may. */
final class MisdirectedException extends HttpException {

  private static final long serialVersionUID = 1L;
  private static final int MISDIRECTED = 421;

  private final transient List<Service> services;
  private final transient @Nullable Ticket ticket;

  /**
   * Creates an exception.
   *
   * @param services the services that may be meant
   * @param ticket the ticket of the request's id, whose chain names the hosts that may take it
   */
  MisdirectedException(String message, List<Service> services, @Nullable Ticket ticket) {
    super(MISDIRECTED, message);
    this.services = services;
    this.ticket = ticket;
  }

  List<Service> services() {
    return services;
  }

  @Nullable Ticket ticket() {
    return ticket;
  }
}
