/** Reading of configuration, endpoint entries and host addresses from the platform's store. */
@NullMarked
package io.samphiredyke.gateway.store;

import org.jspecify.annotations.NullMarked;
