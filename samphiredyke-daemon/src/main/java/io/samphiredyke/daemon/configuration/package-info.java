/** Follows the configuration stream and provides the active configuration. */
@NullMarked
package io.samphiredyke.daemon.configuration;

import org.jspecify.annotations.NullMarked;
