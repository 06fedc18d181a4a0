package io.samphiredyke.standins.engine;

import io.samphiredyke.net.http.HttpExchange;
import io.samphiredyke.net.http.ResponseStream;
import java.util.Map;
import java.util.function.Supplier;

/** Sends a completion to one caller, as far as it has been generated. */
abstract class CompletionWriter {

  private static final int STATUS_OK = 200;

  /** The progress of a response. */
  enum Progress {
    /** More remains to be sent. */
    OPEN,
    /** The complete response was sent. */
    DONE,
    /** The connection was closed before the end. */
    ABORTED
  }

  /** Sends everything that is available and writable. */
  abstract Progress send();

  /** Closes the connection. */
  abstract void abort();

  /** Returns a writer that sends a non-streaming response once the completion is complete. */
  static CompletionWriter nonStreaming(Completion completion, HttpExchange exchange) {
    return new CompletionWriter() {
      @Override
      Progress send() {
        if (!completion.isComplete()) {
          return Progress.OPEN;
        }
        exchange.respondJson(STATUS_OK, completion.toChatCompletion());
        return Progress.DONE;
      }

      @Override
      void abort() {
        exchange.abort();
      }
    };
  }

  /**
   * Returns a writer that sends a stream of events.
   *
   * @param first the number of the first event to send
   * @param resume called when the connection becomes writable again
   */
  static CompletionWriter streaming(
      Completion completion,
      HttpExchange exchange,
      int first,
      Supplier<EngineFaults> faults,
      Runnable resume) {
    ResponseStream stream =
        exchange.startStream(
            STATUS_OK, Map.of("content-type", "text/event-stream", "cache-control", "no-cache"));
    return new StreamingWriter(completion, stream, first, faults, resume);
  }

  private static final class StreamingWriter extends CompletionWriter {

    private final Completion completion;
    private final ResponseStream stream;
    private final int first;
    private final Supplier<EngineFaults> faults;
    private final Runnable resume;
    private int next;
    private boolean awaitingWritable;

    StreamingWriter(
        Completion completion,
        ResponseStream stream,
        int first,
        Supplier<EngineFaults> faults,
        Runnable resume) {
      this.completion = completion;
      this.stream = stream;
      this.first = first;
      this.faults = faults;
      this.resume = resume;
      this.next = first;
    }

    @Override
    Progress send() {
      int available =
          completion.isComplete() ? completion.eventCount() : completion.generatedTokens();
      while (next <= available && !awaitingWritable) {
        if (!stream.isWritable()) {
          awaitWritable();
          return Progress.OPEN;
        }
        if (shouldAbort()) {
          stream.abort();
          return Progress.ABORTED;
        }
        boolean malformed = next == faults.get().malformedAfterTokens();
        stream.write(malformed ? Completion.malformedEvent(next) : completion.event(next));
        next++;
      }
      if (next <= completion.eventCount()) {
        return Progress.OPEN;
      }
      stream.end();
      return Progress.DONE;
    }

    private boolean shouldAbort() {
      int limit = faults.get().cutAfterTokens();
      return limit > 0 && next - first >= limit;
    }

    private void awaitWritable() {
      awaitingWritable = true;
      stream.whenWritable(
          () -> {
            awaitingWritable = false;
            resume.run();
          });
    }

    @Override
    void abort() {
      stream.abort();
    }
  }
}
