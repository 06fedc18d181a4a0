package io.samphiredyke.standins.server;

/**
 * The body of an error response.
 *
 * @param error the details
 */
public record ErrorBody(Detail error) {

  /**
   * The details of an error.
   *
   * @param message human-readable description
   * @param type machine-readable error type
   */
  public record Detail(String message, String type) {}
}
