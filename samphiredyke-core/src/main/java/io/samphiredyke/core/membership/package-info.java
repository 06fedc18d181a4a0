/**
 * Group membership and failure detection by random probes with piggybacked gossip (SWIM) and
 * periodic anti-entropy.
 *
 * <p>The view is soft state and may differ between hosts for seconds; nothing that requires exact
 * agreement may depend on it.
 */
@NullMarked
package io.samphiredyke.core.membership;

import org.jspecify.annotations.NullMarked;
