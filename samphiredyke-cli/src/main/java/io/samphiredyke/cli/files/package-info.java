/** Loading and validation of configuration files. */
@NullMarked
package io.samphiredyke.cli.files;

import org.jspecify.annotations.NullMarked;
