package io.samphiredyke.standins.server;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Ticker;
import java.time.Clock;

/**
 * The event loop and the clocks of a stand-in. Several stand-ins may share one runtime.
 *
 * @param loop the event loop that owns the stand-in's connections and state
 * @param ticker the monotonic clock
 * @param clock the wall clock
 */
public record StandInRuntime(EventLoop loop, Ticker ticker, Clock clock) {

  /** Returns a runtime that uses the system clocks. */
  public static StandInRuntime system(EventLoop loop) {
    return new StandInRuntime(loop, Ticker.systemTicker(), Clock.systemUTC());
  }
}
