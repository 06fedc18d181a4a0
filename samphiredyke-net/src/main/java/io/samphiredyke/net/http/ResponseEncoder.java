package io.samphiredyke.net.http;

import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseEncoder;

/** Encoder of the responses on a server connection; that to a HEAD request has no body. */
public final class ResponseEncoder extends HttpResponseEncoder {

  private final RequestDecoder requests;

  /** Creates the encoder of the responses to what a decoder has decoded. */
  public ResponseEncoder(RequestDecoder requests) {
    this.requests = requests;
  }

  @Override
  protected boolean isContentAlwaysEmpty(HttpResponse response) {
    return requests.method().equals(HttpMethod.HEAD) || super.isContentAlwaysEmpty(response);
  }
}
