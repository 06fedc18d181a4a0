/** The subcommands of samphiredykectl. */
@NullMarked
package io.samphiredyke.cli.command;

import org.jspecify.annotations.NullMarked;
