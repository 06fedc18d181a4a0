/** Which paths to endpoints work, from this host and through its peers. */
@NullMarked
package io.samphiredyke.core.path;

import org.jspecify.annotations.NullMarked;
