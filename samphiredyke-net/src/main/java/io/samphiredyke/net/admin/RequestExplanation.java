package io.samphiredyke.net.admin;

import java.util.List;

/**
 * What a host knows of a request, the answer to {@code GET /v1/requests/{id}/explain}.
 *
 * @param requestId the id of the request
 * @param state the state, such as {@code queued}, {@code running}, {@code done} or {@code closed}
 * @param ran {@code yes}, {@code no} or {@code unknown}
 * @param customer the customer
 * @param service the service
 * @param steps what happened, oldest first
 */
public record RequestExplanation(
    String requestId, String state, String ran, String customer, String service, List<Step> steps) {

  /**
   * Something that happened to the request.
   *
   * @param timeMillis when, in milliseconds since 1970 by the host's clock
   * @param event what happened, such as {@code intent-acknowledged}
   * @param detail more about it, such as the endpoint
   */
  public record Step(long timeMillis, String event, String detail) {}
}
