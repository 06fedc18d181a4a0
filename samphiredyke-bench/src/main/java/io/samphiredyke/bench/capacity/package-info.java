/** Measures the cost of members, requests, messages and changes, and estimates host capacity. */
@NullMarked
package io.samphiredyke.bench.capacity;

import org.jspecify.annotations.NullMarked;
