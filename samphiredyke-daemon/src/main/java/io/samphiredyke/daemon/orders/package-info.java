/** Holds leases of engines and sends orders to them, to bring them to their desired state. */
@NullMarked
package io.samphiredyke.daemon.orders;

import org.jspecify.annotations.NullMarked;
