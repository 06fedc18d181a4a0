/** Follows roll-out orders, lets the service's scheduler decide on them and stores the outcome. */
@NullMarked
package io.samphiredyke.gateway.rollout;

import org.jspecify.annotations.NullMarked;
