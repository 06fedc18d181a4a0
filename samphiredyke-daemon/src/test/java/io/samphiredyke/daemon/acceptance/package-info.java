/** Acceptance tests: Cucumber scenarios that run real daemons and inject faults. */
@NullMarked
package io.samphiredyke.daemon.acceptance;

import org.jspecify.annotations.NullMarked;
