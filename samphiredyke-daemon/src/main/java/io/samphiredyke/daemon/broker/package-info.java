/** Hosts the brokers that grant slots at endpoints. */
@NullMarked
package io.samphiredyke.daemon.broker;

import org.jspecify.annotations.NullMarked;
