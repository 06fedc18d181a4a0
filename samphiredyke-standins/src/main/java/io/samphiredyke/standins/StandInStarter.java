package io.samphiredyke.standins;

import java.util.concurrent.CompletableFuture;

/** Starts a stand-in whose settings are known. */
@FunctionalInterface
interface StandInStarter {

  /** Starts it; returns a line that says what listens where. */
  CompletableFuture<String> start();
}
