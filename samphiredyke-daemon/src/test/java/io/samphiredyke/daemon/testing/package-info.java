/** Runs daemons with stand-ins of the platform and the endpoints in one process. */
@NullMarked
package io.samphiredyke.daemon.testing;

import org.jspecify.annotations.NullMarked;
