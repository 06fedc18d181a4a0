/**
 * Request scheduler: queues the requests to a service, grants them slots at its endpoints and sheds
 * load.
 */
@NullMarked
package io.samphiredyke.core.pool;

import org.jspecify.annotations.NullMarked;
