/** Client library for callers: address lookup, tickets, stream resumption and safe retries. */
@NullMarked
package io.samphiredyke.client;

import org.jspecify.annotations.NullMarked;
