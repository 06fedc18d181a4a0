/** Acquisition of slots at endpoints, scheduler selection and messages between hosts. */
@NullMarked
package io.samphiredyke.gateway.scheduling;

import org.jspecify.annotations.NullMarked;
