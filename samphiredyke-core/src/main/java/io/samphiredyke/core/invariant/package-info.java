/** Named invariants that are checked at run time. */
@NullMarked
package io.samphiredyke.core.invariant;

import org.jspecify.annotations.NullMarked;
