/** Places at endpoints, from the scheduler of this host or of another one. */
@NullMarked
package io.samphiredyke.gateway.scheduling;

import org.jspecify.annotations.NullMarked;
