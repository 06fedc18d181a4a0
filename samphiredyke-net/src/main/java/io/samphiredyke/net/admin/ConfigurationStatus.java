package io.samphiredyke.net.admin;

/**
 * The configuration in force on a host, the answer to {@code GET /v1/configuration}.
 *
 * @param host the name of the host
 * @param offset the offset of the last record taken in, -1 for none
 * @param digest the digest of all items, equal on hosts that agree
 * @param readiness {@code READY}, {@code CATCHING_UP} or {@code NO_SNAPSHOT}
 * @param behind whether records are known to be missing
 * @param logFailures how many polls of the log have failed since the last that succeeded
 */
public record ConfigurationStatus(
    String host, long offset, String digest, String readiness, boolean behind, int logFailures) {}
