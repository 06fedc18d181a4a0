/** The registers that this host keeps for requests of other hosts. */
@NullMarked
package io.samphiredyke.daemon.witness;

import org.jspecify.annotations.NullMarked;
