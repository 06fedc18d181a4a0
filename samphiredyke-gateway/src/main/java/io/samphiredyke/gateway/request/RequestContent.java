package io.samphiredyke.gateway.request;

import io.netty.buffer.ByteBufUtil;
import io.samphiredyke.core.quarantine.RequestFingerprint;
import io.samphiredyke.core.serving.CustomerSpec;
import io.samphiredyke.gateway.frontend.CallerRequest;
import org.jspecify.annotations.Nullable;

/** Content of a request, which relates the attempts of a caller. Computed only if it is needed. */
final class RequestContent {

  private final CallerRequest request;
  private final String caller;
  private @Nullable RequestFingerprint fingerprint;

  /** Creates the content of a request whose body is still available. */
  RequestContent(CallerRequest request, @Nullable CustomerSpec customer) {
    this.request = request;
    this.caller = customer == null ? "" : customer.name();
  }

  RequestFingerprint fingerprint() {
    RequestFingerprint known = fingerprint;
    if (known == null) {
      known =
          RequestFingerprint.of(
              caller,
              request.head().method().name(),
              request.head().uri(),
              ByteBufUtil.getBytes(request.body()));
      fingerprint = known;
    }
    return known;
  }
}
