/** The operators' tool samphiredykectl. */
@NullMarked
package io.samphiredyke.cli;

import org.jspecify.annotations.NullMarked;
