/** Lightweight stand-ins for the external systems that Samphiredyke depends on. */
@NullMarked
package io.samphiredyke.standins;

import org.jspecify.annotations.NullMarked;
