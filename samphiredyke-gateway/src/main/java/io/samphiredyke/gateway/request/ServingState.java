package io.samphiredyke.gateway.request;

import io.samphiredyke.core.serving.EndpointDirectory;
import io.samphiredyke.core.serving.ServingConfiguration;
import org.jspecify.annotations.Nullable;

/** What this host believes of configuration and endpoints; read and changed on its loop only. */
public final class ServingState {

  private final EndpointDirectory endpoints;
  private @Nullable ServingConfiguration configuration;

  /** Creates a belief without a configuration. */
  public ServingState(EndpointDirectory endpoints) {
    this.endpoints = endpoints;
  }

  /** Returns the endpoints. */
  public EndpointDirectory endpoints() {
    return endpoints;
  }

  /** Returns the newest known configuration, or null. */
  public @Nullable ServingConfiguration configuration() {
    return configuration;
  }

  /**
   * Takes a configuration unless a newer one is known.
   *
   * @return whether it was taken
   */
  public boolean configure(ServingConfiguration newer) {
    ServingConfiguration known = configuration;
    if (known != null && known.version() >= newer.version()) {
      return false;
    }
    configuration = newer;
    return true;
  }
}
