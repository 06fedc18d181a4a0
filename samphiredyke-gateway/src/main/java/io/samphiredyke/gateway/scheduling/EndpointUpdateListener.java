package io.samphiredyke.gateway.scheduling;

import io.samphiredyke.platform.StoreRecord;
import java.util.List;

/** Receives endpoint entries that another host read from the store. */
public interface EndpointUpdateListener {

  /**
   * Called when entries have changed.
   *
   * @param era era of the store in which the offsets are valid
   * @param completeFrom offset from which on all changes are included
   * @param nextOffset offset that the sender reads next
   * @param changes changed entries in the order of their offsets
   */
  void endpointsUpdated(long era, long completeFrom, long nextOffset, List<StoreRecord> changes);
}
