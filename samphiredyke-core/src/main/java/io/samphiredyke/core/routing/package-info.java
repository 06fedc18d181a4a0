/** Routing at the entry host: endpoint ranking, size estimates, customer limits and retries. */
@NullMarked
package io.samphiredyke.core.routing;

import org.jspecify.annotations.NullMarked;
