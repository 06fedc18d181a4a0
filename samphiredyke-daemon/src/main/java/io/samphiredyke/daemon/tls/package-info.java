/** TLS contexts from files, reloaded when the files change. */
@NullMarked
package io.samphiredyke.daemon.tls;

import org.jspecify.annotations.NullMarked;
