/** Codecs of JSON and MessagePack, from libraries. */
@NullMarked
package io.samphiredyke.net.codec;

import org.jspecify.annotations.NullMarked;
