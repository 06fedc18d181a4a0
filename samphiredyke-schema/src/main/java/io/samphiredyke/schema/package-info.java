/** JSON schemas of peer messages and settings, and the code generated from them. */
@NullMarked
package io.samphiredyke.schema;

import org.jspecify.annotations.NullMarked;
