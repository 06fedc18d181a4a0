package io.samphiredyke.core.ownership;

/** Whether a caller may use a request id here. */
public enum RequestIdAuthorization {
  /** The id belongs to the caller and to the service. */
  ADMITTED,
  /** The id is not one of this customer's, and is not shown to exist. */
  UNKNOWN_ID,
  /** The ticket of the id has expired. */
  EXPIRED;

  /**
   * Decides whether a caller may use an id with a verified ticket.
   *
   * @param ticket the ticket of the id, expired or not
   * @param customer the authenticated customer
   * @param service the service that is asked for
   * @param nowEpochMillis the time
   */
  public static RequestIdAuthorization of(
      Ticket ticket, String customer, String service, long nowEpochMillis) {
    if (!ticket.customer().equals(customer) || !ticket.service().equals(service)) {
      return UNKNOWN_ID;
    }
    return ticket.isExpired(nowEpochMillis) ? EXPIRED : ADMITTED;
  }
}
