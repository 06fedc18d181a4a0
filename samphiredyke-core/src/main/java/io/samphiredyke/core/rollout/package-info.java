/** Roll-outs: moves the traffic of a service to another software version, or takes it back. */
@NullMarked
package io.samphiredyke.core.rollout;

import org.jspecify.annotations.NullMarked;
