/** Reading the configuration stream and publishing to it. */
@NullMarked
package io.samphiredyke.cli.publish;

import org.jspecify.annotations.NullMarked;
