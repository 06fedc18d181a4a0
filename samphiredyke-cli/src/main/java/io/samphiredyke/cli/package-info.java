/** The command line tool samphiredykectl for operators. */
@NullMarked
package io.samphiredyke.cli;

import org.jspecify.annotations.NullMarked;
