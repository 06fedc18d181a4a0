/** Pages for operators: status, readiness, metrics. */
@NullMarked
package io.samphiredyke.daemon.admin;

import org.jspecify.annotations.NullMarked;
