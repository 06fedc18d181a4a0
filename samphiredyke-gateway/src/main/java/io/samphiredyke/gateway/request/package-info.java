/** The way of one request from its head to its answer. */
@NullMarked
package io.samphiredyke.gateway.request;

import org.jspecify.annotations.NullMarked;
