/** Answers in progress and their delivery to callers. */
@NullMarked
package io.samphiredyke.daemon.answer;

import org.jspecify.annotations.NullMarked;
