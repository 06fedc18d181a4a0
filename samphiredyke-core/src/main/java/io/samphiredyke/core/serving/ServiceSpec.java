package io.samphiredyke.core.serving;

/**
 * A service as configured.
 *
 * @param name name of the service
 * @param maxConnections connections that one endpoint accepts from all hosts together
 * @param isEngine whether its endpoints are model engines
 * @param batchSlots requests that an engine runs at once; 0 if not an engine
 * @param kvCapacityTokens tokens that an engine's memory holds; 0 if not an engine
 */
public record ServiceSpec(
    String name, int maxConnections, boolean isEngine, int batchSlots, long kvCapacityTokens) {}
