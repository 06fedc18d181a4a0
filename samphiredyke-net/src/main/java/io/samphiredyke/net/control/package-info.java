/** The event loop for control state, and the text form of socket addresses. */
@NullMarked
package io.samphiredyke.net.control;

import org.jspecify.annotations.NullMarked;
