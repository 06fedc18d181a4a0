/** Open-loop load generator that verifies request outcomes against the endpoints' counts. */
@NullMarked
package io.samphiredyke.bench.load;

import org.jspecify.annotations.NullMarked;
