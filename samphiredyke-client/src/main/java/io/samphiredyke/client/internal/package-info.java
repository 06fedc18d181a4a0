/** Implementation of the client, not part of its API. */
@NullMarked
package io.samphiredyke.client.internal;

import org.jspecify.annotations.NullMarked;
