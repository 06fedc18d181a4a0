/** Helpers for tests. */
@NullMarked
package io.samphiredyke.test;

import org.jspecify.annotations.NullMarked;
