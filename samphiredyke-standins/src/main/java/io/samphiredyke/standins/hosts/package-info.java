/** Stand-in for the platform's host list. */
@NullMarked
package io.samphiredyke.standins.hosts;

import org.jspecify.annotations.NullMarked;
