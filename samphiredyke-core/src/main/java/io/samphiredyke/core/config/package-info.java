/** Configuration items, the log records that change them, and the replicated state they produce. */
@NullMarked
package io.samphiredyke.core.config;

import org.jspecify.annotations.NullMarked;
