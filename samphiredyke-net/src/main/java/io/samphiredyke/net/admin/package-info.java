/** The JSON pages by which operators see and steer a host. */
@NullMarked
package io.samphiredyke.net.admin;

import org.jspecify.annotations.NullMarked;
