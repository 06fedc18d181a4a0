/** Shared test utilities. */
@NullMarked
package io.samphiredyke.test;

import org.jspecify.annotations.NullMarked;
