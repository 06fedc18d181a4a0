package io.samphiredyke.schema.settings.loader;

import java.util.List;
import java.util.stream.Collectors;

/** Thrown if settings are invalid; contains all findings. */
public final class SettingsException extends Exception {

  private static final long serialVersionUID = 1L;

  private final transient List<SettingsFinding> findings;

  /** Creates an exception with at least one finding. */
  public SettingsException(List<SettingsFinding> findings) {
    super(findings.stream().map(SettingsFinding::toString).collect(Collectors.joining("\n")));
    this.findings = List.copyOf(findings);
  }

  /** Returns the findings, those about single settings in the order of the schema. */
  public List<SettingsFinding> findings() {
    return findings;
  }
}
