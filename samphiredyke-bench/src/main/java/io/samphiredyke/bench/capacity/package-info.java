/** What one member, request, message or change costs, and what that gives at a size. */
@NullMarked
package io.samphiredyke.bench.capacity;

import org.jspecify.annotations.NullMarked;
