/** The single thread that holds control state. */
@NullMarked
package io.samphiredyke.daemon.host;

import org.jspecify.annotations.NullMarked;
