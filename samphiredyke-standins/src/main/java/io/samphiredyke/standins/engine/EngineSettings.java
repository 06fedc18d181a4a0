package io.samphiredyke.standins.engine;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Settings of an engine stand-in.
 *
 * @param name the name of the engine
 * @param dataCentre the data centre of the engine
 * @param options its performance and capacity
 * @param models the initially loaded models, {@code name} or {@code name@version}
 * @param role the initial role
 * @param checkFence whether orders with an old fencing number are refused
 * @param resumeWindow the time for which a completion is kept while it isn't read
 * @param cacheEventLag the delay of cache events
 * @param cacheEventLoss the fraction of cache events that is never published, 0 to 1
 * @param earlyStop whether completions stop by themselves before {@code max_tokens}
 * @param loadTime the time to load a model if there is no weight store
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

  /** Returns a builder with default values. */
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

    /** Sets the data centre. */
    public Builder dataCentre(String dataCentre) {
      this.dataCentre = dataCentre;
      return this;
    }

    /** Sets the performance and capacity. */
    public Builder options(EngineOptions options) {
      this.options = options;
      return this;
    }

    /** Sets the initially loaded models. */
    public Builder models(List<String> models) {
      this.models = models;
      return this;
    }

    /** Sets the initial role. */
    public Builder role(String role) {
      this.role = role;
      return this;
    }

    /** Sets whether orders with an old fencing number are refused. */
    public Builder checkFence(boolean checkFence) {
      this.checkFence = checkFence;
      return this;
    }

    /** Sets the time for which a completion is kept while it isn't read. */
    public Builder resumeWindow(Duration resumeWindow) {
      this.resumeWindow = resumeWindow;
      return this;
    }

    /** Sets the delay of cache events. */
    public Builder cacheEventLag(Duration cacheEventLag) {
      this.cacheEventLag = cacheEventLag;
      return this;
    }

    /** Sets the fraction of cache events that is never published, 0 to 1. */
    public Builder cacheEventLoss(double cacheEventLoss) {
      this.cacheEventLoss = cacheEventLoss;
      return this;
    }

    /** Sets whether completions stop by themselves before {@code max_tokens}. */
    public Builder earlyStop(boolean earlyStop) {
      this.earlyStop = earlyStop;
      return this;
    }

    /** Sets the time to load a model if there is no weight store. */
    public Builder loadTime(Duration loadTime) {
      this.loadTime = loadTime;
      return this;
    }

    /** Sets the weight store's address, or null for none. */
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
