package io.samphiredyke.soak;

import io.samphiredyke.platform.standin.EndpointFault;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/** Ends endpoint processes within responses or by SIGKILL, and starts others at their addresses. */
final class EndpointDeaths {

  /** Time between two deaths, over all endpoints. */
  private static final long DEATH_MILLIS = 1_000;

  private static final int KILL_SECONDS = 10;

  private final Fleet fleet;
  private final Observations observations;
  private final SplittableRandom random;
  private final List<String> places = new ArrayList<>();
  private long nextMillis;

  EndpointDeaths(Fleet fleet, Observations observations, String faults, long seed) {
    this.fleet = fleet;
    this.observations = observations;
    random = new SplittableRandom(seed);
    List<String> names = List.of(faults.split(","));
    boolean hasUnsized = names.contains(EndpointFault.UNSIZED.name());
    if (hasUnsized
        && (names.contains(EndpointFault.DEATHS.name())
            || names.contains(EndpointFault.BREAKS.name()))) {
      places.add("unsized");
    }
    if (names.contains(EndpointFault.SIZED_DEATHS.name())) {
      places.add("sized");
    }
  }

  /** Starts endpoints in place of those that ended, and makes the next one end. */
  void advance(long now) {
    if (places.isEmpty()) {
      return;
    }
    fleet.endpoints().stream()
        .filter(endpoint -> !endpoint.process().isRunning())
        .forEach(Fleet.Endpoint::replace);
    if (now >= nextMillis) {
      String place = places.get(random.nextInt(places.size()));
      Fleet.Endpoint endpoint = fleet.endpoint(random.nextInt(fleet.endpoints().size()));
      endpoint.process().sendCommand("die " + place);
      nextMillis = now + DEATH_MILLIS;
    }
  }

  /** Kills an endpoint, reads its output to the end and starts another one. */
  void replace(Fleet.Endpoint endpoint) {
    observations.recordDeath(endpoint.process().name(), System.currentTimeMillis());
    endpoint.process().signal("KILL");
    endpoint.process().awaitExit(KILL_SECONDS);
    endpoint.replace();
  }
}
