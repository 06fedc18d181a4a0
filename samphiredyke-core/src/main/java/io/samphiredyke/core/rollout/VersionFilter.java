package io.samphiredyke.core.rollout;

/**
 * Software versions whose endpoints may get requests.
 *
 * @param kind which versions are admitted
 * @param version version that the kind refers to
 */
public record VersionFilter(Kind kind, String version) {

  /** Which versions are admitted. */
  public enum Kind {
    /** All versions. */
    ALL,
    /** All but the given one. */
    EXCEPT,
    /** The given one, others if it has no free slot. */
    PREFER,
    /** The given one; others only for streams that began there. */
    ONLY
  }

  /** Filter without a roll-out. */
  public static final VersionFilter ADMIT_ALL = new VersionFilter(Kind.ALL, "");

  /** Returns whether a version is admitted. */
  public boolean admits(String other) {
    return switch (kind) {
      case ALL -> true;
      case EXCEPT -> !other.equals(version);
      case PREFER, ONLY -> other.equals(version);
    };
  }

  /** Returns whether a version that is not admitted may still get streams that began there. */
  public boolean admitsResumptions() {
    return kind == Kind.PREFER || kind == Kind.ONLY;
  }
}
