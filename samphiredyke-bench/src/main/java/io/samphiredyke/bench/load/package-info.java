/** Load generator: open-loop requests, their outcomes, and checks against the endpoints' counts. */
@NullMarked
package io.samphiredyke.bench.load;

import org.jspecify.annotations.NullMarked;
