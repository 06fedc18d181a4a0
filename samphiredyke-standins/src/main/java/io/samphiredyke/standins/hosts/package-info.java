/** Stand-in of the host list. */
@NullMarked
package io.samphiredyke.standins.hosts;

import org.jspecify.annotations.NullMarked;
