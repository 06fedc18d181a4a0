package io.samphiredyke.gateway.request;

import io.samphiredyke.core.serving.CallerLimits;
import io.samphiredyke.core.serving.EndpointDirectory;
import io.samphiredyke.core.serving.ServingConfiguration;
import org.jspecify.annotations.Nullable;

/** The configuration and the endpoints known to this host. Used only on the control loop. */
public final class ServingState {

  private final EndpointDirectory endpoints;
  private @Nullable ServingConfiguration configuration;

  /** Creates a state without a configuration. */
  public ServingState(EndpointDirectory endpoints) {
    this.endpoints = endpoints;
  }

  /** Returns the endpoints. */
  public EndpointDirectory endpoints() {
    return endpoints;
  }

  /** Returns the newest known configuration, or null if there is none yet. */
  public @Nullable ServingConfiguration configuration() {
    return configuration;
  }

  /**
   * Replaces the configuration unless the known one has the same or a newer version.
   *
   * @return whether it was replaced
   */
  public boolean updateConfiguration(ServingConfiguration newer) {
    ServingConfiguration known = configuration;
    if (known != null && known.version() >= newer.version()) {
      return false;
    }
    configuration = newer;
    return true;
  }

  /** Returns the limits of callers, also before a configuration is known. */
  public CallerLimits limits() {
    ServingConfiguration known = configuration;
    return known == null ? CallerLimits.defaults() : known.limits();
  }
}
