/** Internal components of the membership state machine; not part of its public API. */
@NullMarked
package io.samphiredyke.core.membership.internal;

import org.jspecify.annotations.NullMarked;
