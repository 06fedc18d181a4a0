/** Configuration of routes, services and customers, and the directory of available endpoints. */
@NullMarked
package io.samphiredyke.core.serving;

import org.jspecify.annotations.NullMarked;
