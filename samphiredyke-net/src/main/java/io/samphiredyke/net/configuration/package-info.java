/** JSON encoding of configuration records and of the responses that carry them. */
@NullMarked
package io.samphiredyke.net.configuration;

import org.jspecify.annotations.NullMarked;
