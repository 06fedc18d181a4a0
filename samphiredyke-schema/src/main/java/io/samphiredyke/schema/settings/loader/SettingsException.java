package io.samphiredyke.schema.settings.loader;

import java.util.List;
import java.util.stream.Collectors;

/** Thrown if settings can't be used; holds all findings. */
public final class SettingsException extends Exception {

  private static final long serialVersionUID = 1L;

  private final transient List<SettingsFinding> findings;

  /** Creates an exception with at least one finding. */
  public SettingsException(List<SettingsFinding> findings) {
    super(findings.stream().map(SettingsFinding::toString).collect(Collectors.joining("\n")));
    this.findings = List.copyOf(findings);
  }

  /** Returns the findings in the order of the settings in the schema. */
  public List<SettingsFinding> findings() {
    return findings;
  }
}
