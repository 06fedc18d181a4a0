/** What this host learns from the platform's store. */
@NullMarked
package io.samphiredyke.gateway.store;

import org.jspecify.annotations.NullMarked;
