/** Scenarios, one file for each promise, that run real daemons against faults. */
@NullMarked
package io.samphiredyke.daemon.acceptance;

import org.jspecify.annotations.NullMarked;
