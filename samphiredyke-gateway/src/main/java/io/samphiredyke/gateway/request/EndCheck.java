package io.samphiredyke.gateway.request;

import io.samphiredyke.core.liveness.Liveness;
import io.samphiredyke.core.liveness.LivenessVerdict;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Check of a regular end that is the only sign that a response is complete: the operating system of
 * a killed endpoint ends its connections in the same way, so the endpoint has to show afterwards
 * that its process still runs.
 */
final class EndCheck {

  private final RequestService.Context context;
  private final RequestLog log;
  private boolean isClosed;
  private Runnable cancellation = () -> {};

  EndCheck(RequestService.Context context, RequestLog log) {
    this.context = context;
    this.log = log;
  }

  /**
   * Begins the check of an attempt that has ended. One of the listeners is called later, unless the
   * check is closed before.
   *
   * @param onFailed receives why the response does not count as complete
   */
  void begin(EndpointAttempt ended, Runnable onComplete, Consumer<String> onFailed) {
    long askedAt = context.loop().nanoTime();
    Runnable question =
        context
            .connections()
            .liveness()
            .ask(
                ended.endpoint(),
                verdict -> decided(ended, askedAt, verdict, onComplete, onFailed));
    cancellation =
        () -> {
          question.run();
          ended.cancel();
        };
  }

  private void decided(
      EndpointAttempt ended,
      long askedAt,
      LivenessVerdict verdict,
      Runnable onComplete,
      Consumer<String> onFailed) {
    long millis = TimeUnit.NANOSECONDS.toMillis(context.loop().nanoTime() - askedAt);
    log.endChecked(ended.endpoint().id(), verdict, millis);
    if (verdict.liveness() == Liveness.ALIVE) {
      ended.checkReset(
          isUnreset -> {
            if (isClosed) {
              return;
            }
            ended.cancel();
            if (isUnreset) {
              onComplete.run();
            } else {
              onFailed.accept("the connection was reset after the end of the response");
            }
          });
      return;
    }
    ended.cancel();
    if (verdict.liveness() == Liveness.GONE) {
      ended.processEnded();
    }
    onFailed.accept("the response ended with its connection: " + verdict.reason());
  }

  /** Ends the check without a verdict. */
  void close() {
    isClosed = true;
    cancellation.run();
  }
}
