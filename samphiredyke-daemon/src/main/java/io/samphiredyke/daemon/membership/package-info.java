/** Tracks the live hosts by gossip and reads the host list. */
@NullMarked
package io.samphiredyke.daemon.membership;

import org.jspecify.annotations.NullMarked;
