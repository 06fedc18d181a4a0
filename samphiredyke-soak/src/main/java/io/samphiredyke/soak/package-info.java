/** Runs the gateways as processes, injects faults from outside and checks the promises. */
@NullMarked
package io.samphiredyke.soak;

import org.jspecify.annotations.NullMarked;
