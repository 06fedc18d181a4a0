/** How requests wait for the endpoints of a service, are placed on them and are refused. */
@NullMarked
package io.samphiredyke.core.pool;

import org.jspecify.annotations.NullMarked;
