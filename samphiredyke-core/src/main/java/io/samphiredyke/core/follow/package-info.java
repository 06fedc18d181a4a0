/** Position of a reader in a topic of a store that may be restored from an older copy. */
@NullMarked
package io.samphiredyke.core.follow;

import org.jspecify.annotations.NullMarked;
