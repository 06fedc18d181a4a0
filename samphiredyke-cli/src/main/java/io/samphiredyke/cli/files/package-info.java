/** Reading and checking short configuration files. */
@NullMarked
package io.samphiredyke.cli.files;

import org.jspecify.annotations.NullMarked;
