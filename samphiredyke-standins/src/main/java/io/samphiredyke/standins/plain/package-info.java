/** Stand-in for a plain service. */
@NullMarked
package io.samphiredyke.standins.plain;

import org.jspecify.annotations.NullMarked;
