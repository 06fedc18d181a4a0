package io.samphiredyke.standins.engine;

/**
 * The load of an engine at one moment.
 *
 * @param time the moment, nanoseconds of the engine's monotonic clock
 * @param running the sequences in the batch
 * @param waiting the requests that wait for a place in the batch
 * @param waitingPrefillTokens the tokens that are still to be prefilled, cached or not
 * @param cachedBlocks the blocks in the prefix cache
 */
public record LoadReport(
    long time, int running, int waiting, long waitingPrefillTokens, int cachedBlocks) {}
