/** Daemons with stand-ins of the platform and the endpoints, all in one process. */
@NullMarked
package io.samphiredyke.daemon.testing;

import org.jspecify.annotations.NullMarked;
