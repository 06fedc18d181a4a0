/** Encoding of the messages of group membership. */
@NullMarked
package io.samphiredyke.net.membership;

import org.jspecify.annotations.NullMarked;
