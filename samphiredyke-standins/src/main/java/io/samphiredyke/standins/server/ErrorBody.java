package io.samphiredyke.standins.server;

/**
 * An error answer.
 *
 * @param error what went wrong
 */
public record ErrorBody(Detail error) {

  /**
   * What went wrong.
   *
   * @param message for people
   * @param type for programs
   */
  public record Detail(String message, String type) {}
}
