/** Reading of and publishing to the configuration stream. */
@NullMarked
package io.samphiredyke.cli.publish;

import org.jspecify.annotations.NullMarked;
