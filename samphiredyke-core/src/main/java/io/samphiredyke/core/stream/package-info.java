/** Decides which events of a stream are passed on, without I/O. */
@NullMarked
package io.samphiredyke.core.stream;

import org.jspecify.annotations.NullMarked;
