/** The JSON form of configuration records, and reading the configuration stream over HTTP. */
@NullMarked
package io.samphiredyke.net.configuration;

import org.jspecify.annotations.NullMarked;
