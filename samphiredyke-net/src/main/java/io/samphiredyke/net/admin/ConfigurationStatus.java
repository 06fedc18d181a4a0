package io.samphiredyke.net.admin;

/**
 * The active configuration of a host, returned by {@code GET /v1/configuration}.
 *
 * @param host the name of the host
 * @param offset the offset of the last record read, -1 if there is none
 * @param digest the digest of all items; hosts with the same configuration have the same digest
 * @param readiness {@code READY}, {@code CATCHING_UP} or {@code NO_SNAPSHOT}
 * @param behind whether the host knows of records that it has not read yet
 * @param logFailures the number of failed polls of the log since the last successful one
 */
public record ConfigurationStatus(
    String host, long offset, String digest, String readiness, boolean behind, int logFailures) {}
