/** Choice of endpoints at the entry: estimates, prefix map, claims, limits and retries. */
@NullMarked
package io.samphiredyke.core.routing;

import org.jspecify.annotations.NullMarked;
