/** Conversion between the messages of hosts and the types of the decisions. */
@NullMarked
package io.samphiredyke.daemon.peer;

import org.jspecify.annotations.NullMarked;
