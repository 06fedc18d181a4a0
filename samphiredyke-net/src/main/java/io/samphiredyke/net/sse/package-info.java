/** Decoding and encoding of server-sent events ({@code text/event-stream}). */
@NullMarked
package io.samphiredyke.net.sse;

import org.jspecify.annotations.NullMarked;
