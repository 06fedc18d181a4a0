/** TCP tunnels to endpoints through other hosts, for hosts without a path of their own. */
@NullMarked
package io.samphiredyke.gateway.tunnel;

import org.jspecify.annotations.NullMarked;
