package io.samphiredyke.daemon;

/** Starts the program. */
public final class Main {

  private Main() {}

  /**
   * Runs the program.
   *
   * @param args the flags
   */
  public static void main(String[] args) {}
}
