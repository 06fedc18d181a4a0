/** Stand-in of a model engine: a pure model of continuous batching and its HTTP interface. */
@NullMarked
package io.samphiredyke.standins.engine;

import org.jspecify.annotations.NullMarked;
