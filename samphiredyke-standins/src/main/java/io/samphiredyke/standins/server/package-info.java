/**
 * Common base of the stand-ins: event loop, timers, routing, control API and silent connections.
 */
@NullMarked
package io.samphiredyke.standins.server;

import org.jspecify.annotations.NullMarked;
