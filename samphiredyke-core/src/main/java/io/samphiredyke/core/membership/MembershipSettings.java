package io.samphiredyke.core.membership;

import java.time.Duration;

/** Settings of a {@link Membership}. */
public final class MembershipSettings {

  private final Builder values;

  private MembershipSettings(Builder values) {
    this.values = values;
  }

  /** Returns a builder with the default values. */
  public static Builder builder() {
    return new Builder();
  }

  /** Returns the time between the starts of two probes. */
  public long probeIntervalNanos() {
    return values.probeInterval.toNanos();
  }

  /** Returns the time to wait for a direct ack before helpers are requested to probe. */
  public long pingTimeoutNanos() {
    return values.pingTimeout.toNanos();
  }

  /** Returns the number of helpers of an indirect probe. */
  public int helpers() {
    return values.helpers;
  }

  /** Returns the minimum suspicion timeout, used if enough members suspect independently. */
  public long minSuspicionNanos() {
    return values.minSuspicion.toNanos();
  }

  /** Returns the maximum suspicion timeout, used if no other member suspects. */
  public long maxSuspicionNanos() {
    return values.maxSuspicion.toNanos();
  }

  /** Returns the number of further suspectors that reduce the suspicion timeout to its minimum. */
  public int confirmations() {
    return values.confirmations;
  }

  /** Returns the maximum local health score; a score of s multiplies the probe times by s + 1. */
  public int maxHealthScore() {
    return values.maxHealthScore;
  }

  /** Returns how often an update is sent, per decimal digit of the number of members. */
  public int retransmitFactor() {
    return values.retransmitFactor;
  }

  /** Returns the maximum size of the updates piggybacked on a ping or ack, in bytes. */
  public int maxUpdateBytes() {
    return values.maxUpdateBytes;
  }

  /** Returns the mean time between two comparisons of the whole view with a random member. */
  public long syncIntervalNanos() {
    return values.syncInterval.toNanos();
  }

  /** Returns the maximum size of the members in one anti-entropy message, in bytes. */
  public int syncMessageBytes() {
    return values.syncMessageBytes;
  }

  /**
   * Returns the maximum number of replies to one comparison, unless the other member is joining.
   */
  public int syncMessages() {
    return values.syncMessages;
  }

  /** Returns the mean time between two contacts of a dead member by all members together. */
  public long reconnectIntervalNanos() {
    return values.reconnectInterval.toNanos();
  }

  /** Returns the time after which a dead or left member is removed from the view. */
  public long reclaimAfterNanos() {
    return values.reclaimAfter.toNanos();
  }

  /** Returns the delay of an event above which this process is considered to have been paused. */
  public long pauseThresholdNanos() {
    return values.pauseThreshold.toNanos();
  }

  /** Builder of {@link MembershipSettings}. */
  public static final class Builder {

    private Duration probeInterval = Duration.ofMillis(500);
    private Duration pingTimeout = Duration.ofMillis(150);
    private int helpers = 3;
    private Duration minSuspicion = Duration.ofMillis(1500);
    private Duration maxSuspicion = Duration.ofMillis(3000);
    private int confirmations = 3;
    private int maxHealthScore = 8;
    private int retransmitFactor = 4;
    private int maxUpdateBytes = 400;
    private Duration syncInterval = Duration.ofSeconds(10);
    private int syncMessageBytes = 1200;
    private int syncMessages = 2;
    private Duration reconnectInterval = Duration.ofSeconds(1);
    private Duration reclaimAfter = Duration.ofMinutes(15);
    private Duration pauseThreshold = Duration.ofMillis(300);

    private Builder() {}

    /** Sets the time between the starts of two probes. */
    public Builder probeInterval(Duration value) {
      probeInterval = value;
      return this;
    }

    /** Sets the time to wait for a direct ack before helpers are requested to probe. */
    public Builder pingTimeout(Duration value) {
      pingTimeout = value;
      return this;
    }

    /** Sets the number of helpers of an indirect probe. */
    public Builder helpers(int value) {
      helpers = value;
      return this;
    }

    /** Sets the minimum suspicion timeout. */
    public Builder minSuspicion(Duration value) {
      minSuspicion = value;
      return this;
    }

    /** Sets the maximum suspicion timeout. */
    public Builder maxSuspicion(Duration value) {
      maxSuspicion = value;
      return this;
    }

    /** Sets the number of further suspectors that reduce the suspicion timeout to its minimum. */
    public Builder confirmations(int value) {
      confirmations = value;
      return this;
    }

    /** Sets the maximum local health score; 0 disables the local health score. */
    public Builder maxHealthScore(int value) {
      maxHealthScore = value;
      return this;
    }

    /** Sets how often an update is sent, per decimal digit of the number of members. */
    public Builder retransmitFactor(int value) {
      retransmitFactor = value;
      return this;
    }

    /** Sets the maximum size of the updates piggybacked on a ping or ack, in bytes. */
    public Builder maxUpdateBytes(int value) {
      maxUpdateBytes = value;
      return this;
    }

    /** Sets the mean time between two comparisons of the whole view. */
    public Builder syncInterval(Duration value) {
      syncInterval = value;
      return this;
    }

    /** Sets the maximum size of the members in one anti-entropy message, in bytes. */
    public Builder syncMessageBytes(int value) {
      syncMessageBytes = value;
      return this;
    }

    /** Sets the maximum number of replies to one comparison. */
    public Builder syncMessages(int value) {
      syncMessages = value;
      return this;
    }

    /** Sets the mean time between two contacts of a dead member by all members together. */
    public Builder reconnectInterval(Duration value) {
      reconnectInterval = value;
      return this;
    }

    /** Sets the time after which a dead or left member is removed from the view. */
    public Builder reclaimAfter(Duration value) {
      reclaimAfter = value;
      return this;
    }

    /** Sets the delay of an event above which this process is considered to have been paused. */
    public Builder pauseThreshold(Duration value) {
      pauseThreshold = value;
      return this;
    }

    /**
     * Builds the settings.
     *
     * @throws IllegalArgumentException if the times are inconsistent
     */
    public MembershipSettings build() {
      if (pingTimeout.compareTo(probeInterval) >= 0) {
        throw new IllegalArgumentException("pingTimeout must be shorter than probeInterval");
      }
      if (minSuspicion.compareTo(maxSuspicion) > 0) {
        throw new IllegalArgumentException("minSuspicion must not exceed maxSuspicion");
      }
      Builder copy = new Builder();
      copy.probeInterval = probeInterval;
      copy.pingTimeout = pingTimeout;
      copy.helpers = helpers;
      copy.minSuspicion = minSuspicion;
      copy.maxSuspicion = maxSuspicion;
      copy.confirmations = confirmations;
      copy.maxHealthScore = maxHealthScore;
      copy.retransmitFactor = retransmitFactor;
      copy.maxUpdateBytes = maxUpdateBytes;
      copy.syncInterval = syncInterval;
      copy.syncMessageBytes = syncMessageBytes;
      copy.syncMessages = syncMessages;
      copy.reconnectInterval = reconnectInterval;
      copy.reclaimAfter = reclaimAfter;
      copy.pauseThreshold = pauseThreshold;
      return new MembershipSettings(copy);
    }
  }
}
