/** Exchanges messages with other hosts and converts them to and from the types of the core. */
@NullMarked
package io.samphiredyke.daemon.peer;

import org.jspecify.annotations.NullMarked;
