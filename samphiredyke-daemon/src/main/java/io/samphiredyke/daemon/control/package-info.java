/** The single thread that holds control state. */
@NullMarked
package io.samphiredyke.daemon.control;

import org.jspecify.annotations.NullMarked;
