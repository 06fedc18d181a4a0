/** Stand-in for a model engine: a simulation of continuous batching and its HTTP interface. */
@NullMarked
package io.samphiredyke.standins.engine;

import org.jspecify.annotations.NullMarked;
