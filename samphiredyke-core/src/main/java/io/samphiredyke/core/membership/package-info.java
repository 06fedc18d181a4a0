/**
 * Group membership: which hosts are alive, by random probes with piggybacked updates (SWIM) and
 * periodic anti-entropy.
 *
 * <p>The view is soft state and may differ between hosts for seconds; nothing that must be exact
 * may depend on it.
 */
@NullMarked
package io.samphiredyke.core.membership;

import org.jspecify.annotations.NullMarked;
