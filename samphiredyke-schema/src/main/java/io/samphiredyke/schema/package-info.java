/** Schemas of messages and settings, with the code generated from them. */
@NullMarked
package io.samphiredyke.schema;

import org.jspecify.annotations.NullMarked;
