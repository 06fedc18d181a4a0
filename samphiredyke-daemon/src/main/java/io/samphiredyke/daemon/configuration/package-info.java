/** Following of the configuration stream. */
@NullMarked
package io.samphiredyke.daemon.configuration;

import org.jspecify.annotations.NullMarked;
