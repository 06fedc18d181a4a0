/** Parts of the membership state machine that are no public interface. */
@NullMarked
package io.samphiredyke.core.membership.internal;

import org.jspecify.annotations.NullMarked;
