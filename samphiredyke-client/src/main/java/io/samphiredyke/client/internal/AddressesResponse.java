package io.samphiredyke.client.internal;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * The response to an address lookup.
 *
 * @param addresses the hosts to send requests to, as {@code ip:port}, in order of preference
 * @param ticket the ticket, which is the prefix of request ids
 * @param expiresInSeconds the validity of the ticket, in seconds
 */
record AddressesResponse(
    @Nullable List<String> addresses,
    @Nullable String ticket,
    @JsonProperty("expiresInSeconds") double expiresInSeconds) {}
