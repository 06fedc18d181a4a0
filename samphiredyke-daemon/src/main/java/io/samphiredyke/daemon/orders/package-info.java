/** Drives orders to engines: the orders stream of the log and the engines' own interface. */
@NullMarked
package io.samphiredyke.daemon.orders;

import org.jspecify.annotations.NullMarked;
