/**
 * At-most-once dispatch: tickets, request ids, the witness registers and the state machine that
 * decides which process owns a request.
 */
@NullMarked
package io.samphiredyke.core.ownership;

import org.jspecify.annotations.NullMarked;
