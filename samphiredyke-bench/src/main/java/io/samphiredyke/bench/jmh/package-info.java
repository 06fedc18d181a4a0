/** JMH microbenchmarks of scheduling decisions. */
@NullMarked
package io.samphiredyke.bench.jmh;

import org.jspecify.annotations.NullMarked;
