/** Small stand-ins of the outside systems. */
@NullMarked
package io.samphiredyke.standins;

import org.jspecify.annotations.NullMarked;
