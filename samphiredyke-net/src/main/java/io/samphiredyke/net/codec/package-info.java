/** Shared JSON serialization. */
@NullMarked
package io.samphiredyke.net.codec;

import org.jspecify.annotations.NullMarked;
