/** HTTP/1.1 server and client on Netty's codec, with streamed responses. */
@NullMarked
package io.samphiredyke.net.http;

import org.jspecify.annotations.NullMarked;
