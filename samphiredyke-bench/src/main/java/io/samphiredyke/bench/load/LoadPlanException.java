package io.samphiredyke.bench.load;

import java.util.List;

/** Thrown when a load plan is invalid; the message lists all findings. */
public final class LoadPlanException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  /** Creates an exception from findings that each name their location in the plan. */
  public LoadPlanException(List<String> findings) {
    super(String.join("\n", findings));
  }
}
