package io.samphiredyke.standins.engine;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * What an engine stand-in is and how its interface behaves.
 *
 * @param name its name
 * @param dataCentre where it stands
 * @param options how fast it is and how much it holds
 * @param models the models that are loaded at start, {@code name} or {@code name@version}
 * @param role its role at start
 * @param checkFence whether it refuses orders with an old fencing number
 * @param resumeWindow how long an answer that no one reads is kept
 * @param cacheEventLag how late cache events are published
 * @param cacheEventLoss the part of the cache events that is never published, 0 to 1
 * @param earlyStop whether answers end by themselves before their limit
 * @param loadTime how long loading takes when there is no weight store
 * @param weightStore the weight store's address, or null
 */
public record EngineSettings(
    String name,
    String dataCentre,
    EngineOptions options,
    List<String> models,
    String role,
    boolean checkFence,
    Duration resumeWindow,
    Duration cacheEventLag,
    double cacheEventLoss,
    boolean earlyStop,
    Duration loadTime,
    @Nullable InetSocketAddress weightStore) {

  /** Copies the models. */
  public EngineSettings {
    models = List.copyOf(models);
  }

  /** Returns a builder that holds the defaults. */
  public static Builder builder() {
    return new Builder();
  }

  /** Builds {@link EngineSettings}. */
  public static final class Builder {
    private String name = "engine";
    private String dataCentre = "dc1";
    private EngineOptions options = EngineOptions.builder().build();
    private List<String> models = List.of("model");
    private String role = "mixed";
    private boolean checkFence = true;
    private Duration resumeWindow = Duration.ofSeconds(30);
    private Duration cacheEventLag = Duration.ofSeconds(2);
    private double cacheEventLoss = 0.05;
    private boolean earlyStop;
    private Duration loadTime = Duration.ofSeconds(2);
    private @Nullable InetSocketAddress weightStore;

    private Builder() {}

    /** Sets the name. */
    public Builder name(String name) {
      this.name = name;
      return this;
    }

    /** Sets where it stands. */
    public Builder dataCentre(String dataCentre) {
      this.dataCentre = dataCentre;
      return this;
    }

    /** Sets how fast it is and how much it holds. */
    public Builder options(EngineOptions options) {
      this.options = options;
      return this;
    }

    /** Sets the models that are loaded at start. */
    public Builder models(List<String> models) {
      this.models = models;
      return this;
    }

    /** Sets the role at start. */
    public Builder role(String role) {
      this.role = role;
      return this;
    }

    /** Sets whether it refuses orders with an old fencing number. */
    public Builder checkFence(boolean checkFence) {
      this.checkFence = checkFence;
      return this;
    }

    /** Sets how long an answer that no one reads is kept. */
    public Builder resumeWindow(Duration resumeWindow) {
      this.resumeWindow = resumeWindow;
      return this;
    }

    /** Sets how late cache events are published. */
    public Builder cacheEventLag(Duration cacheEventLag) {
      this.cacheEventLag = cacheEventLag;
      return this;
    }

    /** Sets the part of the cache events that is never published. */
    public Builder cacheEventLoss(double cacheEventLoss) {
      this.cacheEventLoss = cacheEventLoss;
      return this;
    }

    /** Sets whether answers end by themselves before their limit. */
    public Builder earlyStop(boolean earlyStop) {
      this.earlyStop = earlyStop;
      return this;
    }

    /** Sets how long loading takes when there is no weight store. */
    public Builder loadTime(Duration loadTime) {
      this.loadTime = loadTime;
      return this;
    }

    /** Sets the weight store's address. */
    public Builder weightStore(@Nullable InetSocketAddress weightStore) {
      this.weightStore = weightStore;
      return this;
    }

    /** Returns the settings. */
    public EngineSettings build() {
      return new EngineSettings(
          name,
          dataCentre,
          options,
          models,
          role,
          checkFence,
          resumeWindow,
          cacheEventLag,
          cacheEventLoss,
          earlyStop,
          loadTime,
          weightStore);
    }
  }
}
