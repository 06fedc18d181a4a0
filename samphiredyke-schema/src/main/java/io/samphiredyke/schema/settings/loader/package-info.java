/** Reads settings from flags and environment variables as the schemas define them. */
@NullMarked
package io.samphiredyke.schema.settings.loader;

import org.jspecify.annotations.NullMarked;
