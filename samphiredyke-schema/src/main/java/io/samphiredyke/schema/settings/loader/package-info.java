/** Loads settings from flags and environment variables, as defined by their schemas. */
@NullMarked
package io.samphiredyke.schema.settings.loader;

import org.jspecify.annotations.NullMarked;
