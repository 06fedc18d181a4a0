/** A caller's library: addresses, tickets, resume and safe retry. */
@NullMarked
package io.samphiredyke.client;

import org.jspecify.annotations.NullMarked;
