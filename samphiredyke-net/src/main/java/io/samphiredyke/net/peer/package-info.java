/** Authenticated links between hosts, which carry framed MessagePack messages over TCP. */
@NullMarked
package io.samphiredyke.net.peer;

import org.jspecify.annotations.NullMarked;
