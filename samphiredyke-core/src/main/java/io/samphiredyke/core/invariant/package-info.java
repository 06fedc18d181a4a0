/** Named invariants that the program asserts about itself while it runs. */
@NullMarked
package io.samphiredyke.core.invariant;

import org.jspecify.annotations.NullMarked;
