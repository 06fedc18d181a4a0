package io.samphiredyke.core.membership;

import java.time.Duration;

/** Settings of a {@link Membership}. */
public final class MembershipSettings {

  private final Builder values;

  private MembershipSettings(Builder values) {
    this.values = values;
  }

  /** Starts with the defaults. */
  public static Builder builder() {
    return new Builder();
  }

  /** Time between the starts of two probes. */
  public long probeIntervalNanos() {
    return values.probeInterval.toNanos();
  }

  /** Time to wait for a direct answer before helpers are asked. */
  public long pingTimeoutNanos() {
    return values.pingTimeout.toNanos();
  }

  /** Number of helpers of an indirect probe. */
  public int helpers() {
    return values.helpers;
  }

  /** Shortest time from suspicion to death, when enough members suspect independently. */
  public long minSuspicionNanos() {
    return values.minSuspicion.toNanos();
  }

  /** Longest time from suspicion to death, when nobody else suspects. */
  public long maxSuspicionNanos() {
    return values.maxSuspicion.toNanos();
  }

  /** Number of further accusers that shorten a suspicion to its minimum. */
  public int confirmations() {
    return values.confirmations;
  }

  /** Largest local health score; a score of s multiplies the probe times by s + 1. */
  public int maxHealthScore() {
    return values.maxHealthScore;
  }

  /** Times that an update is sent, per decimal digit of the number of members. */
  public int retransmitFactor() {
    return values.retransmitFactor;
  }

  /** Bytes of updates on a ping or its answer. */
  public int maxUpdateBytes() {
    return values.maxUpdateBytes;
  }

  /** Mean time between two comparisons of the whole view with a random member. */
  public long syncIntervalNanos() {
    return values.syncInterval.toNanos();
  }

  /** Bytes of members in one message of an exchange. */
  public int syncMessageBytes() {
    return values.syncMessageBytes;
  }

  /** Messages that answer one comparison, unless the asker joins. */
  public int syncMessages() {
    return values.syncMessages;
  }

  /** Mean time between two contacts that all members together make with a dead one. */
  public long reconnectIntervalNanos() {
    return values.reconnectInterval.toNanos();
  }

  /** Time for which a dead or left member is remembered. */
  public long reclaimAfterNanos() {
    return values.reclaimAfter.toNanos();
  }

  /** Lateness of an event above which the process itself counts as having been paused. */
  public long pauseThresholdNanos() {
    return values.pauseThreshold.toNanos();
  }

  /** Builds {@link MembershipSettings}. */
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

    /** Sets the time to wait for a direct answer before helpers are asked. */
    public Builder pingTimeout(Duration value) {
      pingTimeout = value;
      return this;
    }

    /** Sets the number of helpers of an indirect probe. */
    public Builder helpers(int value) {
      helpers = value;
      return this;
    }

    /** Sets the shortest time from suspicion to death. */
    public Builder minSuspicion(Duration value) {
      minSuspicion = value;
      return this;
    }

    /** Sets the longest time from suspicion to death. */
    public Builder maxSuspicion(Duration value) {
      maxSuspicion = value;
      return this;
    }

    /** Sets the number of further accusers that shorten a suspicion to its minimum. */
    public Builder confirmations(int value) {
      confirmations = value;
      return this;
    }

    /** Sets the largest local health score; 0 turns local health off. */
    public Builder maxHealthScore(int value) {
      maxHealthScore = value;
      return this;
    }

    /** Sets the times that an update is sent, per decimal digit of the number of members. */
    public Builder retransmitFactor(int value) {
      retransmitFactor = value;
      return this;
    }

    /** Sets the bytes of updates on a ping or its answer. */
    public Builder maxUpdateBytes(int value) {
      maxUpdateBytes = value;
      return this;
    }

    /** Sets the mean time between two comparisons of the whole view. */
    public Builder syncInterval(Duration value) {
      syncInterval = value;
      return this;
    }

    /** Sets the bytes of members in one message of an exchange. */
    public Builder syncMessageBytes(int value) {
      syncMessageBytes = value;
      return this;
    }

    /** Sets the messages that answer one comparison. */
    public Builder syncMessages(int value) {
      syncMessages = value;
      return this;
    }

    /** Sets the mean time between two contacts that all members make with a dead one. */
    public Builder reconnectInterval(Duration value) {
      reconnectInterval = value;
      return this;
    }

    /** Sets the time for which a dead or left member is remembered. */
    public Builder reclaimAfter(Duration value) {
      reclaimAfter = value;
      return this;
    }

    /** Sets the lateness above which the process itself counts as having been paused. */
    public Builder pauseThreshold(Duration value) {
      pauseThreshold = value;
      return this;
    }

    /**
     * Builds the settings.
     *
     * @throws IllegalArgumentException if the times do not fit each other
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
