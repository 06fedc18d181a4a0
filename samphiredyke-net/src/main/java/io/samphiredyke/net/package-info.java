/** HTTP, peer links and logging on Netty. */
@NullMarked
package io.samphiredyke.net;

import org.jspecify.annotations.NullMarked;
