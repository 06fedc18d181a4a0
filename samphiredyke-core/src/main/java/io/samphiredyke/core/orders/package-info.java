/**
 * Placement of models on engines: leases that determine which host may send orders to an endpoint,
 * and the orders themselves.
 *
 * @see io.samphiredyke.core.orders.OrderStateMachine
 */
@NullMarked
package io.samphiredyke.core.orders;

import org.jspecify.annotations.NullMarked;
