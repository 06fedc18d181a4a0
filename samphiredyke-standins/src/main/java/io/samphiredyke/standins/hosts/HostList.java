package io.samphiredyke.standins.hosts;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * The body of {@code GET /v1/hosts}.
 *
 * @param hosts the hosts, in order of their addition
 */
public record HostList(@Nullable List<HostEntry> hosts) {}
