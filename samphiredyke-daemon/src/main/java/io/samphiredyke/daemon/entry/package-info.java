/** Requests of callers: admission, dispatch and outcome. */
@NullMarked
package io.samphiredyke.daemon.entry;

import org.jspecify.annotations.NullMarked;
