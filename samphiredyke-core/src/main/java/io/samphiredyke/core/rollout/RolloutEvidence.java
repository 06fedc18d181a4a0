package io.samphiredyke.core.rollout;

import org.jspecify.annotations.Nullable;

/**
 * What the scheduler of a service knows of a roll-out.
 *
 * @param newAnswers answers of the new version that were compared with the old version's
 * @param finding in what the new version is worse, or null
 * @param isDisturbed whether the old version fails so often that little is seen of the new one
 * @param oldRunning requests that run at endpoints of other versions
 */
public record RolloutEvidence(
    long newAnswers, @Nullable String finding, boolean isDisturbed, int oldRunning) {}
