/** What all stand-ins share: the event loop, time, routing, the control pages and silence. */
@NullMarked
package io.samphiredyke.standins.server;

import org.jspecify.annotations.NullMarked;
