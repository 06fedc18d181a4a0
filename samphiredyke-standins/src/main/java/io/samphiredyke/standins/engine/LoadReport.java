package io.samphiredyke.standins.engine;

/**
 * The load of an engine at a point in time.
 *
 * @param time the point in time, nanoseconds of the engine's monotonic clock
 * @param running the number of sequences in the batch
 * @param waiting the number of requests that wait for admission to the batch
 * @param waitingPrefillTokens the tokens still to be prefilled; for waiting requests including
 *     those that are cached
 * @param cachedBlocks the number of blocks in the prefix cache
 */
public record LoadReport(
    long time, int running, int waiting, long waitingPrefillTokens, int cachedBlocks) {}
