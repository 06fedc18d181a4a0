package io.samphiredyke.core.rollout;

/**
 * How a request ended at an endpoint.
 *
 * @param route route of the request
 * @param endpointId id of the endpoint
 * @param hasFailed whether the endpoint failed it
 * @param timeRatio time that it took, relative to the time expected for its work; 0 if it is not
 *     comparable, as during the warm-up of the endpoint
 */
public record Answer(String route, String endpointId, boolean hasFailed, double timeRatio) {

  boolean isTimed() {
    return !hasFailed && timeRatio > 0;
  }
}
