/** The daemon samphiredyked. */
@NullMarked
package io.samphiredyke.daemon;

import org.jspecify.annotations.NullMarked;
