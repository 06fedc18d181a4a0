/** The loop of control state, and addresses as text. */
@NullMarked
package io.samphiredyke.net.control;

import org.jspecify.annotations.NullMarked;
