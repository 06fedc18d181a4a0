package io.samphiredyke.core.serving;

/**
 * Configuration of a service.
 *
 * @param name name of the service
 * @param maxConnections largest number of connections to one endpoint, from all hosts together
 * @param isEngine whether its endpoints are model engines
 * @param batchSlots requests that an engine runs concurrently; 0 if not an engine
 * @param kvCapacityTokens capacity of an engine's KV cache, tokens; 0 if not an engine
 */
public record ServiceSpec(
    String name, int maxConnections, boolean isEngine, int batchSlots, long kvCapacityTokens) {}
