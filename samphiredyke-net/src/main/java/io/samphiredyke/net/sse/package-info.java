/** Server-sent events: reading and writing of {@code text/event-stream}. */
@NullMarked
package io.samphiredyke.net.sse;

import org.jspecify.annotations.NullMarked;
