/** Configuration items, the records that change them, and the state that records produce. */
@NullMarked
package io.samphiredyke.core.config;

import org.jspecify.annotations.NullMarked;
