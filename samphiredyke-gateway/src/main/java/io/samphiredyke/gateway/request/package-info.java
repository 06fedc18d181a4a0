/** Processing of one request, from its head to its response. */
@NullMarked
package io.samphiredyke.gateway.request;

import org.jspecify.annotations.NullMarked;
