/** What callers may ask for and which endpoints serve it, as a platform states it. */
@NullMarked
package io.samphiredyke.core.serving;

import org.jspecify.annotations.NullMarked;
