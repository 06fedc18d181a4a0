/**
 * Decisions about orders to engines: which host may order at an endpoint, and what it orders.
 *
 * @see io.samphiredyke.core.orders.OrderStateMachine
 */
@NullMarked
package io.samphiredyke.core.orders;

import org.jspecify.annotations.NullMarked;
