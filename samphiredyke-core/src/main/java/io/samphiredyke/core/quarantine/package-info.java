/** Finds requests that crash the endpoints that run them, and keeps them away from endpoints. */
@NullMarked
package io.samphiredyke.core.quarantine;

import org.jspecify.annotations.NullMarked;
