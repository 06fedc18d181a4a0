package io.samphiredyke.client.internal;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * The answer to a question for addresses.
 *
 * @param addresses where to send requests, as {@code ip:port}, the best one first
 * @param ticket the ticket that request ids start with
 * @param expiresInSeconds how long the ticket is valid
 */
record AddressesResponse(
    @Nullable List<String> addresses,
    @Nullable String ticket,
    @JsonProperty("expiresInSeconds") double expiresInSeconds) {}
