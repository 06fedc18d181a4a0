package io.samphiredyke.core.invariant;

/**
 * A named statement that must hold whenever it is checked.
 *
 * @param name the name in metrics and documents, in kebab case
 * @param severity what a violation means for the running process
 */
public record Invariant(String name, Severity severity) {

  /** What a violation means for the running process. */
  public enum Severity {
    /** The violation is counted and the process goes on. */
    COUNTED,
    /** Going on would break a promise to a caller. */
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
   * Returns an invariant whose violation must stop the action that violates it.
   *
   * @param name the name in kebab case
   */
  public static Invariant fatal(String name) {
    return new Invariant(name, Severity.FATAL);
  }
}
