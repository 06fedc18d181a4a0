/** Command line program with the load generator, experiments and benchmarks. */
@NullMarked
package io.samphiredyke.bench;

import org.jspecify.annotations.NullMarked;
