/** Encoding of gossip messages for group membership. */
@NullMarked
package io.samphiredyke.net.membership;

import org.jspecify.annotations.NullMarked;
