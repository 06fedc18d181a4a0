package io.samphiredyke.daemon.entry;

import io.samphiredyke.core.config.Service;
import io.samphiredyke.core.ownership.Ticket;
import io.samphiredyke.net.http.HttpException;
import java.util.List;
import org.jspecify.annotations.Nullable;

/** Thrown if a request was sent to a host that may not process it, while other hosts may. */
final class MisdirectedException extends HttpException {

  private static final long serialVersionUID = 1L;
  private static final int MISDIRECTED = 421;

  private final transient List<Service> services;
  private final transient @Nullable Ticket ticket;

  /**
   * Creates an exception with status 421.
   *
   * @param services the services that the request may be addressed to
   * @param ticket the ticket of the request id, whose chain names the hosts that may process it, or
   *     null if there is no id
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
