/** Stand-in for the append-only log service. */
@NullMarked
package io.samphiredyke.standins.log;

import org.jspecify.annotations.NullMarked;
