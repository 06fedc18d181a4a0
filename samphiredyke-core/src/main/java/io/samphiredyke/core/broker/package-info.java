/** Broker of one endpoint: request queue, adaptive concurrency limit and load shedding. */
@NullMarked
package io.samphiredyke.core.broker;

import org.jspecify.annotations.NullMarked;
