/** Liveness of the other hosts and the host list. */
@NullMarked
package io.samphiredyke.daemon.membership;

import org.jspecify.annotations.NullMarked;
