/** Authenticated links between hosts: framed MessagePack messages over TCP. */
@NullMarked
package io.samphiredyke.net.peer;

import org.jspecify.annotations.NullMarked;
