package io.samphiredyke.net.admin;

import java.util.List;

/**
 * The history of a request on a host, returned by {@code GET /v1/requests/{id}/explain}.
 *
 * @param requestId the id of the request
 * @param state the state, such as {@code queued}, {@code running}, {@code done} or {@code closed}
 * @param ran whether the request was executed: {@code yes}, {@code no} or {@code unknown}
 * @param customer the customer
 * @param service the service
 * @param steps the events in the life of the request, oldest first
 */
public record RequestExplanation(
    String requestId, String state, String ran, String customer, String service, List<Step> steps) {

  /**
   * An event in the life of a request.
   *
   * @param timeMillis the time of the event, in milliseconds since the epoch by the host's clock
   * @param event the name of the event, such as {@code intent-acknowledged}
   * @param detail further details, such as the endpoint
   */
  public record Step(long timeMillis, String event, String detail) {}
}
