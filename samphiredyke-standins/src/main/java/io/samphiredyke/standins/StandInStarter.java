package io.samphiredyke.standins;

import java.util.concurrent.CompletableFuture;

/** Starts a stand-in with parsed settings. */
@FunctionalInterface
interface StandInStarter {

  /** Starts the stand-in; returns a line with its kind and its address. */
  CompletableFuture<String> start();
}
