/** Whether the process of an endpoint still runs. */
@NullMarked
package io.samphiredyke.core.liveness;

import org.jspecify.annotations.NullMarked;
