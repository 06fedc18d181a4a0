package io.samphiredyke.soak;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Times in which all endpoints of a service are brittle, drawn for each service. Some seconds after
 * the first statement their room is reduced, and changes until the end.
 */
final class BrittlePhases {

  private static final int[] TOLERATED = {1, 2, 3, 5, 8};
  private static final int FULL_ROOM = 12;
  private static final int MAX_REDUCED_ROOM = 3;

  /** Time from the statement to the reduction of the room, at least. */
  private static final int STATED_MILLIS = 3_000;

  private static final int MAX_DELAY_MILLIS = 1_500;
  private static final int REDUCED_MILLIS = 8_000;
  private static final int CHANGE_MILLIS = 2_500;
  private static final int PAUSE_MILLIS = 3_000;

  /** Time after which the state is sent again, as endpoints may have been replaced. */
  private static final long REPEAT_MILLIS = 500;

  private final SplittableRandom random;
  private final Map<String, Service> services = new LinkedHashMap<>();
  private int phaseCount;

  /** The endpoints of a service, and when its state changes. */
  private static final class Service {
    private final List<Fleet.Endpoint> endpoints;
    private final Map<Fleet.Endpoint, Integer> rooms = new HashMap<>();
    private String phase = "-";
    private int tolerated;
    private long changesAt;
    private long endsAt;
    private long sentAt;

    Service(List<Fleet.Endpoint> endpoints, long changesAt) {
      this.endpoints = endpoints;
      this.changesAt = changesAt;
    }

    void send(long now) {
      sentAt = now;
      for (Fleet.Endpoint endpoint : endpoints) {
        int room = rooms.getOrDefault(endpoint, FULL_ROOM);
        endpoint.process().sendCommand("brittle " + phase + " " + tolerated + " " + room);
      }
    }
  }

  BrittlePhases(Fleet fleet, SplittableRandom random, long now) {
    this.random = random;
    for (String service : List.of("model", "plain")) {
      List<Fleet.Endpoint> endpoints =
          fleet.endpoints().stream().filter(each -> each.service().equals(service)).toList();
      services.put(service, new Service(endpoints, now + random.nextInt(PAUSE_MILLIS) / 4));
    }
  }

  /** Changes the state of the services whose time has come. */
  void advance(long now) {
    services.forEach(
        (name, service) -> {
          if (now >= service.changesAt) {
            change(name, service, now);
            service.send(now);
          } else if (now - service.sentAt >= REPEAT_MILLIS) {
            service.send(now);
          }
        });
  }

  private void change(String name, Service service, long now) {
    if (service.tolerated == 0) {
      phaseCount++;
      service.phase = name + "-" + phaseCount;
      service.tolerated = TOLERATED[random.nextInt(TOLERATED.length)];
      service.changesAt = now + STATED_MILLIS + random.nextInt(MAX_DELAY_MILLIS);
      service.endsAt = service.changesAt + REDUCED_MILLIS / 2 + random.nextInt(REDUCED_MILLIS / 2);
    } else if (now < service.endsAt) {
      service.endpoints.forEach(
          endpoint -> service.rooms.put(endpoint, 1 + random.nextInt(MAX_REDUCED_ROOM)));
      service.changesAt =
          Math.min(service.endsAt, now + CHANGE_MILLIS / 3 + random.nextInt(CHANGE_MILLIS));
    } else {
      end(service);
      service.changesAt = now + random.nextInt(PAUSE_MILLIS);
    }
  }

  private static void end(Service service) {
    service.tolerated = 0;
    service.rooms.clear();
  }

  /** Ends the brittleness of all services. */
  void end(long now) {
    for (Service service : services.values()) {
      end(service);
      service.send(now);
    }
  }
}
