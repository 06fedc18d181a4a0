/** Decision logic: deterministic state machines without I/O, threads or system clocks. */
@NullMarked
package io.samphiredyke.core;

import org.jspecify.annotations.NullMarked;
