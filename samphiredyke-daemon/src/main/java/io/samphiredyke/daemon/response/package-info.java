/** Answers in progress and their delivery to callers. */
@NullMarked
package io.samphiredyke.daemon.response;

import org.jspecify.annotations.NullMarked;
