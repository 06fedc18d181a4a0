/** Load generator, experiments and benchmarks. */
@NullMarked
package io.samphiredyke.bench;

import org.jspecify.annotations.NullMarked;
