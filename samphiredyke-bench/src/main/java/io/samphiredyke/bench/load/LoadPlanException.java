package io.samphiredyke.bench.load;

import java.util.List;

/** A plan that is wrong, with all findings. */
public final class LoadPlanException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  /** Creates an exception with the findings, of which each names its place. */
  public LoadPlanException(List<String> findings) {
    super(String.join("\n", findings));
  }
}
