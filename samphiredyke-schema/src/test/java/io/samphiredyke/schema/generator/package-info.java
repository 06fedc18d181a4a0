/** Generator of the Java code and the settings page from the schemas. */
@NullMarked
package io.samphiredyke.schema.generator;

import org.jspecify.annotations.NullMarked;
