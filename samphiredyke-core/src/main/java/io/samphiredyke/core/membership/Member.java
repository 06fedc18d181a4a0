package io.samphiredyke.core.membership;

import io.samphiredyke.core.membership.internal.MessagePackSize;

/**
 * Immutable description of one process of the group, as known locally.
 *
 * <p>Members at one address are ordered by generation, then incarnation, then state; the highest
 * one wins everywhere, so that views converge regardless of the order in which updates arrive.
 *
 * @param name name of the host
 * @param address address for peers, {@code ip:port}; at most one live member has it
 * @param incarnation id of the run of the process
 * @param dataCentre data centre of the host
 * @param state state of the member
 * @param generation version number that only the member itself increments (the incarnation number
 *     of SWIM). A process starts with its wall-clock time in seconds, so that a restarted process
 *     usually supersedes its previous run at once; a clock that was set back costs one additional
 *     round trip and does not affect correctness
 * @param configurationOffset newest configuration offset known to be in force at the member; a hint
 *     that never raises the generation
 * @param draining whether the member is draining before a planned shutdown and takes no new work
 * @param callerAddress address for callers, {@code ip:port}, empty if the member serves no callers
 * @param capacity capacity of the host in hundredths of a core, 0 if unknown
 */
public record Member(
    String name,
    String address,
    IncarnationId incarnation,
    String dataCentre,
    MemberState state,
    long generation,
    long configurationOffset,
    boolean draining,
    String callerAddress,
    int capacity) {

  private static final int FIELDS = 10;

  /** Returns a builder of a member in state {@link MemberState#ALIVE}. */
  public static Builder builder() {
    return new Builder();
  }

  /** Returns the short id, which identifies the incarnation in compact updates. */
  public long shortId() {
    return incarnation.high();
  }

  /** Returns whether this member is newer than another one at the same address. */
  public boolean supersedes(Member other) {
    if (generation != other.generation) {
      return generation > other.generation;
    }
    if (!incarnation.equals(other.incarnation)) {
      return outranks(incarnation, other.incarnation);
    }
    return state.compareTo(other.state) > 0;
  }

  private static boolean outranks(IncarnationId left, IncarnationId right) {
    int high = Long.compareUnsigned(left.high(), right.high());
    return high != 0 ? high > 0 : Long.compareUnsigned(left.low(), right.low()) > 0;
  }

  /** Returns this member with another state and generation. */
  public Member with(MemberState newState, long newGeneration) {
    return toBuilder().state(newState).generation(newGeneration).build();
  }

  /** Returns this member with another configuration offset. */
  public Member withConfigurationOffset(long offset) {
    return toBuilder().configurationOffset(offset).build();
  }

  /** Returns a builder initialized with this member. */
  public Builder toBuilder() {
    return new Builder()
        .name(name)
        .address(address)
        .incarnation(incarnation)
        .dataCentre(dataCentre)
        .state(state)
        .generation(generation)
        .configurationOffset(configurationOffset)
        .draining(draining)
        .callerAddress(callerAddress)
        .capacity(capacity);
  }

  /** Returns the encoded size in bytes. */
  public int encodedSize() {
    return MessagePackSize.ofArray(FIELDS)
        + MessagePackSize.ofString(name)
        + MessagePackSize.ofString(address)
        + MessagePackSize.INCARNATION_ID
        + MessagePackSize.ofString(dataCentre)
        + MessagePackSize.ONE_BYTE
        + MessagePackSize.ofLong(generation)
        + MessagePackSize.ofLong(configurationOffset)
        + MessagePackSize.ONE_BYTE
        + MessagePackSize.ofString(callerAddress)
        + MessagePackSize.ofLong(capacity);
  }

  /** Builder of {@link Member}. */
  public static final class Builder {

    private String name = "";
    private String address = "";
    private IncarnationId incarnation = new IncarnationId(0, 0);
    private String dataCentre = "";
    private MemberState state = MemberState.ALIVE;
    private long generation;
    private long configurationOffset;
    private boolean draining;
    private String callerAddress = "";
    private int capacity;

    private Builder() {}

    /** Sets the name of the host. */
    public Builder name(String value) {
      name = value;
      return this;
    }

    /** Sets the address, {@code ip:port}. */
    public Builder address(String value) {
      address = value;
      return this;
    }

    /** Sets the id of the run of the process. */
    public Builder incarnation(IncarnationId value) {
      incarnation = value;
      return this;
    }

    /** Sets the data centre. */
    public Builder dataCentre(String value) {
      dataCentre = value;
      return this;
    }

    /** Sets the state. */
    public Builder state(MemberState value) {
      state = value;
      return this;
    }

    /** Sets the generation. */
    public Builder generation(long value) {
      generation = value;
      return this;
    }

    /** Sets the configuration offset in force. */
    public Builder configurationOffset(long value) {
      configurationOffset = value;
      return this;
    }

    /** Sets whether the member is draining before a planned shutdown. */
    public Builder draining(boolean value) {
      draining = value;
      return this;
    }

    /** Sets the address for callers, {@code ip:port}. */
    public Builder callerAddress(String value) {
      callerAddress = value;
      return this;
    }

    /** Sets the capacity of the host in hundredths of a core. */
    public Builder capacity(int value) {
      capacity = value;
      return this;
    }

    /**
     * Builds the member.
     *
     * @throws IllegalStateException if the address is missing
     */
    public Member build() {
      if (address.isEmpty()) {
        throw new IllegalStateException("a member must have an address");
      }
      return new Member(
          name,
          address,
          incarnation,
          dataCentre,
          state,
          generation,
          configurationOffset,
          draining,
          callerAddress,
          capacity);
    }
  }
}
