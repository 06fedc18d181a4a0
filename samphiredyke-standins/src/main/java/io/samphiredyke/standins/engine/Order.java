package io.samphiredyke.standins.engine;

import org.jspecify.annotations.Nullable;

/**
 * The body of {@code POST /v1/orders}.
 *
 * @param kind {@code load}, {@code unload} or {@code role}
 * @param model the model to load or unload
 * @param version the model's version
 * @param adapter the adapter, or null
 * @param role the new role
 * @param fence the fencing number of the order's sender
 */
public record Order(
    @Nullable String kind,
    @Nullable String model,
    @Nullable String version,
    @Nullable String adapter,
    @Nullable String role,
    long fence) {

  private static final String DEFAULT_VERSION = "1";

  /** Returns the version, or the default version if the order has none. */
  public String versionOrDefault() {
    return version == null ? DEFAULT_VERSION : version;
  }
}
