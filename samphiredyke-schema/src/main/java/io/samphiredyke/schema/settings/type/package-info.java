/** Types of settings' values. */
@NullMarked
package io.samphiredyke.schema.settings.type;

import org.jspecify.annotations.NullMarked;
