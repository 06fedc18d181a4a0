/**
 * Tickets, request ids, the witness register and the ownership of each request: the decisions that
 * keep a request from being dispatched twice.
 */
@NullMarked
package io.samphiredyke.core.ownership;

import org.jspecify.annotations.NullMarked;
