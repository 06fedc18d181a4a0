package io.samphiredyke.gateway.frontend;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.samphiredyke.net.http.RequestHead;
import io.samphiredyke.platform.Headers;
import java.util.Optional;

/** What the head of a caller's request says before the request is handled. */
final class CallerHead {

  /** Bytes of memory for each byte of the header that lists the parts of a prompt. */
  private static final int PART_FACTOR = 12;

  private CallerHead() {}

  /** Returns the status with which a request is rejected by its head alone, if it is. */
  static Optional<HttpResponseStatus> rejection(HttpRequest request, int maxBodyBytes) {
    boolean isAmbiguous =
        request.headers().contains(HttpHeaderNames.TRANSFER_ENCODING)
            && request.headers().contains(HttpHeaderNames.CONTENT_LENGTH);
    if (isAmbiguous) {
      return Optional.of(HttpResponseStatus.BAD_REQUEST);
    }
    return HttpUtil.getContentLength(request, 0L) > maxBodyBytes
        ? Optional.of(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE)
        : Optional.empty();
  }

  /** Returns the id of the request, empty if it has none. */
  static String idOf(RequestHead head) {
    return head.headers().get(Headers.REQUEST_ID, "");
  }

  /** Returns the memory that the head of a handled request occupies, in bytes. */
  static long handledBytes(RequestHead head) {
    int partBytes = head.headers().get(Headers.PROMPT_PARTS, "").length();
    return head.keptBytes() + (long) partBytes * PART_FACTOR;
  }
}
