/** HTTP connections and exchanges with endpoints. */
@NullMarked
package io.samphiredyke.gateway.upstream;

import org.jspecify.annotations.NullMarked;
