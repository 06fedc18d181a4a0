package io.samphiredyke.core.ownership;

/** Result of the check whether a caller may use a request id for a service. */
public enum RequestIdAuthorization {
  /** The id belongs to the caller and to the service. */
  ADMITTED,
  /** The id belongs to another customer or service; its existence must not be disclosed. */
  UNKNOWN_ID,
  /** The ticket of the id has expired. */
  EXPIRED;

  /**
   * Checks whether a caller may use an id with a verified ticket.
   *
   * @param ticket the ticket of the id, which may have expired
   * @param customer the authenticated customer
   * @param service the requested service
   * @param nowEpochMillis current time
   */
  public static RequestIdAuthorization of(
      Ticket ticket, String customer, String service, long nowEpochMillis) {
    if (!ticket.customer().equals(customer) || !ticket.service().equals(service)) {
      return UNKNOWN_ID;
    }
    return ticket.isExpired(nowEpochMillis) ? EXPIRED : ADMITTED;
  }
}
