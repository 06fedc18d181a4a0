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
 * Reloads the settings file on a signal or when its modification time changes.
 *
 * <p>A file that can't be read or is invalid is rejected, and the active settings remain in use.
 * Runs on the control loop.
 */
final class SettingsReloader {

  /** Interval between checks of the modification time; a check takes a few microseconds. */
  private static final Duration CHECK_INTERVAL = Duration.ofSeconds(2);

  /** Fields that take effect at run time; all others need a restart. */
  private static final Set<String> RELOADABLE_FIELDS = Set.of("seeds", "grace", "caller_ttl");

  private final Path path;
  private final Gateway gateway;
  private final DecisionLog log;
  private HostSettings active;
  private volatile @Nullable FileTime lastModified;

  SettingsReloader(Path path, HostSettings active, Gateway gateway, DecisionLog log) {
    this.path = path;
    this.active = active;
    this.gateway = gateway;
    this.log = log;
  }

  /** Starts checking the file periodically. */
  void start() {
    gateway.loop().scheduleWithFixedDelay(this::check, CHECK_INTERVAL);
  }

  private void check() {
    FileTime modified;
    try {
      modified = Files.getLastModifiedTime(path);
    } catch (IOException e) {
      // The file may be missing briefly while it is being replaced; the next check will find it.
      return;
    }
    FileTime previous = lastModified;
    lastModified = modified;
    if (previous == null) {
      // The file may have changed since startup, before the signal handler was installed.
      reload("initial check");
    } else if (!previous.equals(modified)) {
      reload("file changed");
    }
  }

  /** Returns whether the modification time has been read. */
  boolean hasCheckedFile() {
    return lastModified != null;
  }

  /** Reads the file and applies the fields that can change at run time. */
  void reload(String cause) {
    HostSettings loaded;
    try {
      loaded = SettingsFile.read(path);
    } catch (IOException | SettingsException e) {
      log.event("reload_rejected", "cause", cause, "reason", String.valueOf(e.getMessage()));
      return;
    }
    List<String> applied = new ArrayList<>();
    List<String> needRestart = new ArrayList<>();
    Fields.BY_NAME.forEach(
        (name, field) -> {
          if (!field.apply(loaded).equals(field.apply(active))) {
            (RELOADABLE_FIELDS.contains(name) ? applied : needRestart).add(name);
          }
        });
    active = loaded;
    gateway.apply(loaded);
    log.event("reload", "cause", cause, "applied", applied, "needs_restart", needRestart);
  }

  /** Fields by name, in a holder class that is loaded on the first reload to keep startup fast. */
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
      BY_NAME.put("repeat_ratio", HostSettings::retryRatio);
      BY_NAME.put("repeat_reserve", HostSettings::retryReserve);
      BY_NAME.put("quota_tolerance", HostSettings::quotaTolerance);
      BY_NAME.put("quota_slack", HostSettings::quotaSlack);
      BY_NAME.put("quota_window_ms", HostSettings::quotaWindowMillis);
      BY_NAME.put("caller_ttl", HostSettings::maxCallerTtlSeconds);
      BY_NAME.put("cores", HostSettings::cores);
      BY_NAME.put("link", HostSettings::linkMegabits);
    }

    private Fields() {}
  }
}
