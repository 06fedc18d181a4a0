/** Weighs ways to dispatch a request at most once. */
@NullMarked
package io.samphiredyke.bench.ownership;

import org.jspecify.annotations.NullMarked;
