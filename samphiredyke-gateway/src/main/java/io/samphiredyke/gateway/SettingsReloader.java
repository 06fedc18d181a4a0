package io.samphiredyke.gateway;

import io.samphiredyke.gateway.log.DecisionLog;
import io.samphiredyke.platform.HostSettings;
import io.samphiredyke.platform.SettingsException;
import io.samphiredyke.platform.SettingsFile;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;

/**
 * Follows the settings file: reads it again after a signal, and when its time of change differs.
 *
 * <p>A file that can't be read or holds a wrong field changes nothing. Works on the control loop.
 */
final class SettingsReloader {

  /** How often the file's time is looked at; a call costs a few microseconds. */
  private static final Duration CHECK = Duration.ofSeconds(2);

  /** Fields that take effect while the process runs; all others need a new start. */
  private static final Set<String> APPLIED = Set.of("seeds", "grace", "caller_ttl");

  private final Path path;
  private final Gateway gateway;
  private final DecisionLog log;
  private HostSettings inForce;
  private volatile @Nullable FileTime readAt;

  SettingsReloader(Path path, HostSettings inForce, Gateway gateway, DecisionLog log) {
    this.path = path;
    this.inForce = inForce;
    this.gateway = gateway;
    this.log = log;
  }

  /** Starts to look at the file. */
  void start() {
    gateway.loop().scheduleWithFixedDelay(this::check, CHECK);
  }

  private void check() {
    FileTime changedAt;
    try {
      changedAt = Files.getLastModifiedTime(path);
    } catch (IOException e) {
      // A file that is being replaced is missing for a moment; the next check finds it.
      return;
    }
    FileTime before = readAt;
    readAt = changedAt;
    if (before == null) {
      // It may have changed since it was read at the start, while no signal was handled.
      reload("first look");
    } else if (!before.equals(changedAt)) {
      reload("change of the file");
    }
  }

  /** Returns whether the file's time of change is known. */
  boolean hasLookedAtTheFile() {
    return readAt != null;
  }

  /** Reads the file and puts in force what can be. */
  void reload(String cause) {
    HostSettings read;
    try {
      read = SettingsFile.read(path);
    } catch (IOException | SettingsException e) {
      log.event("reload_rejected", "cause", cause, "reason", String.valueOf(e.getMessage()));
      return;
    }
    List<String> applied = new ArrayList<>();
    List<String> needRestart = new ArrayList<>();
    Fields.BY_NAME.forEach(
        (name, field) -> {
          if (!field.apply(read).equals(field.apply(inForce))) {
            (APPLIED.contains(name) ? applied : needRestart).add(name);
          }
        });
    inForce = read;
    gateway.apply(read);
    log.event("reload", "cause", cause, "applied", applied, "needs_restart", needRestart);
  }

  /** The fields by name; loaded at the first change, as a start should not pay for it. */
  private static final class Fields {

    static final Map<String, Function<HostSettings, Object>> BY_NAME = new LinkedHashMap<>();

    static {
      BY_NAME.put("host", HostSettings::hostName);
      BY_NAME.put("data_centre", HostSettings::dataCentre);
      BY_NAME.put("caller_address", HostSettings::callerAddress);
      BY_NAME.put("readiness_address", HostSettings::readinessAddress);
      BY_NAME.put("directory_address", HostSettings::directoryAddress);
      BY_NAME.put("peer_address", HostSettings::peerAddress);
      BY_NAME.put("metrics_address", HostSettings::metricsAddress);
      BY_NAME.put("seeds", HostSettings::seedAddresses);
      BY_NAME.put("store", HostSettings::storeAddress);
      BY_NAME.put("heartbeat", HostSettings::heartbeatMillis);
      BY_NAME.put("grace", HostSettings::graceMillis);
      BY_NAME.put("repeat_ratio", HostSettings::repeatRatio);
      BY_NAME.put("repeat_reserve", HostSettings::repeatReserve);
      BY_NAME.put("quota_tolerance", HostSettings::quotaTolerance);
      BY_NAME.put("quota_slack", HostSettings::quotaSlack);
      BY_NAME.put("caller_ttl", HostSettings::maxCallerTtlSeconds);
      BY_NAME.put("cores", HostSettings::cores);
      BY_NAME.put("link", HostSettings::linkMegabits);
    }

    private Fields() {}
  }
}
