/** Scenarios, one file for each promise, that run real daemons against faults. */
@NullMarked
package io.samphiredyke.daemon.promises;

import org.jspecify.annotations.NullMarked;
