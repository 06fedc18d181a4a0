/** Parts of the client that callers don't use directly. */
@NullMarked
package io.samphiredyke.client.internal;

import org.jspecify.annotations.NullMarked;
