/** The HTTP API for operators and the metrics of the process. */
@NullMarked
package io.samphiredyke.daemon.admin;

import org.jspecify.annotations.NullMarked;
