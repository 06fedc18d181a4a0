/** Value types of settings. */
@NullMarked
package io.samphiredyke.schema.settings.type;

import org.jspecify.annotations.NullMarked;
