/** Connections to endpoints. */
@NullMarked
package io.samphiredyke.gateway.upstream;

import org.jspecify.annotations.NullMarked;
