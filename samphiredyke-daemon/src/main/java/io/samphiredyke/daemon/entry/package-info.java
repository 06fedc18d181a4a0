/** Handles callers' requests: authentication, admission, slot acquisition, dispatch and outcome. */
@NullMarked
package io.samphiredyke.daemon.entry;

import org.jspecify.annotations.NullMarked;
