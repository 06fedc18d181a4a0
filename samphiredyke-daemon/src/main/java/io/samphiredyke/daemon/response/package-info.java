/** Buffers endpoints' responses and writes them to callers. */
@NullMarked
package io.samphiredyke.daemon.response;

import org.jspecify.annotations.NullMarked;
