package io.samphiredyke.standins.hosts;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * The body of {@code GET /v1/hosts}.
 *
 * @param hosts the hosts, in the order in which they were added
 */
public record HostList(@Nullable List<HostEntry> hosts) {}
