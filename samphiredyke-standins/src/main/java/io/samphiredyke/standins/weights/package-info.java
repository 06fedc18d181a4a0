/** Stand-in for the weight store. */
@NullMarked
package io.samphiredyke.standins.weights;

import org.jspecify.annotations.NullMarked;
