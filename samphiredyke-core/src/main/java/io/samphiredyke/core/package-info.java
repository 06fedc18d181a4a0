/** Decisions: pure state machines without I/O, threads or clocks. */
@NullMarked
package io.samphiredyke.core;

import org.jspecify.annotations.NullMarked;
