/** Generator of the Java code and the reference pages that follow from the schemas. */
@NullMarked
package io.samphiredyke.schema.generator;

import org.jspecify.annotations.NullMarked;
