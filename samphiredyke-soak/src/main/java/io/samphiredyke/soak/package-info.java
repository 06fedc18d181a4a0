/** Soak test: runs gateways as processes, injects faults from outside and checks the guarantees. */
@NullMarked
package io.samphiredyke.soak;

import org.jspecify.annotations.NullMarked;
