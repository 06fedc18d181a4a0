/** JSON documents of the operator API of a host. */
@NullMarked
package io.samphiredyke.net.admin;

import org.jspecify.annotations.NullMarked;
