package io.samphiredyke.gateway.place;

import io.samphiredyke.core.pool.Refusal;

/** Learns where a request may be sent. Called once. */
public interface PlaceListener {

  /** The request may be sent to an endpoint. */
  void granted(Place place);

  /** The request gets no place. */
  void refused(Refusal refusal);
}
