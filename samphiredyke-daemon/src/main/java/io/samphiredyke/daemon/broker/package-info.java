/** The brokers that this host runs for endpoints. */
@NullMarked
package io.samphiredyke.daemon.broker;

import org.jspecify.annotations.NullMarked;
