/** Queue, concurrency limit and shedding of the broker that admits requests to one endpoint. */
@NullMarked
package io.samphiredyke.core.broker;

import org.jspecify.annotations.NullMarked;
