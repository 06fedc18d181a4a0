package io.samphiredyke.standins.server;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Ticker;
import java.time.Clock;

/**
 * What a stand-in runs on. Several stand-ins may share one.
 *
 * @param loop the event loop that handles its connections and its state
 * @param ticker the monotonic clock
 * @param clock the wall clock
 */
public record StandInRuntime(EventLoop loop, Ticker ticker, Clock clock) {

  /** Returns a runtime on the system's clocks. */
  public static StandInRuntime system(EventLoop loop) {
    return new StandInRuntime(loop, Ticker.systemTicker(), Clock.systemUTC());
  }
}
