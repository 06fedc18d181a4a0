package io.samphiredyke.core.invariant;

/**
 * A named condition that must hold whenever it is checked.
 *
 * @param name name in metrics and documentation, in kebab case
 * @param severity consequence of a violation for the running process
 */
public record Invariant(String name, Severity severity) {

  /** Consequence of a violation for the running process. */
  public enum Severity {
    /** The violation is counted and the process continues. */
    COUNTED,
    /** Continuing would break a guarantee to a caller. */
    FATAL
  }

  /**
   * Returns an invariant whose violation is only counted.
   *
   * @param name the name in kebab case
   */
  public static Invariant counted(String name) {
    return new Invariant(name, Severity.COUNTED);
  }

  /**
   * Returns an invariant whose violation must abort the operation that violates it.
   *
   * @param name the name in kebab case
   */
  public static Invariant fatal(String name) {
    return new Invariant(name, Severity.FATAL);
  }
}
