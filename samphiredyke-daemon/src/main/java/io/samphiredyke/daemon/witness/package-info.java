/** Stores the registers that witness the ownership of other hosts' requests. */
@NullMarked
package io.samphiredyke.daemon.witness;

import org.jspecify.annotations.NullMarked;
