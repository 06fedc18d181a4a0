/** The daemon samphiredyked: assembles and runs the components of one host. */
@NullMarked
package io.samphiredyke.daemon;

import org.jspecify.annotations.NullMarked;
