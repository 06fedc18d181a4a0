/** Network protocols on Netty: HTTP, server-sent events and links between hosts. */
@NullMarked
package io.samphiredyke.net;

import org.jspecify.annotations.NullMarked;
