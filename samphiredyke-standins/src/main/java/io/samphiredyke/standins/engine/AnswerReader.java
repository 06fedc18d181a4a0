package io.samphiredyke.standins.engine;

import io.samphiredyke.net.http.HttpExchange;
import io.samphiredyke.net.http.ResponseStream;
import java.util.Map;
import java.util.function.Supplier;

/** Someone who reads an answer: sends what has been made whenever told to. */
abstract class AnswerReader {

  private static final int STATUS_OK = 200;

  /** How far a reader is. */
  enum Progress {
    /** More is to be sent. */
    OPEN,
    /** The answer was sent to its end. */
    DONE,
    /** The connection was cut. */
    CUT
  }

  /** Sends what can be sent. */
  abstract Progress send();

  /** Cuts the connection. */
  abstract void cut();

  /** Returns a reader that gets the whole answer at once. */
  static AnswerReader whole(Answer answer, HttpExchange exchange) {
    return new AnswerReader() {
      @Override
      Progress send() {
        if (!answer.isWhole()) {
          return Progress.OPEN;
        }
        exchange.respondJson(STATUS_OK, answer.whole());
        return Progress.DONE;
      }

      @Override
      void cut() {
        exchange.abort();
      }
    };
  }

  /**
   * Returns a reader that gets a stream of events.
   *
   * @param first the number of the first event to send
   * @param resume called when the connection takes more events
   */
  static AnswerReader stream(
      Answer answer,
      HttpExchange exchange,
      int first,
      Supplier<EngineFaults> faults,
      Runnable resume) {
    ResponseStream stream =
        exchange.startStream(
            STATUS_OK, Map.of("content-type", "text/event-stream", "cache-control", "no-cache"));
    return new Streamed(answer, stream, first, faults, resume);
  }

  private static final class Streamed extends AnswerReader {

    private final Answer answer;
    private final ResponseStream stream;
    private final int first;
    private final Supplier<EngineFaults> faults;
    private final Runnable resume;
    private int next;
    private boolean waiting;

    Streamed(
        Answer answer,
        ResponseStream stream,
        int first,
        Supplier<EngineFaults> faults,
        Runnable resume) {
      this.answer = answer;
      this.stream = stream;
      this.first = first;
      this.faults = faults;
      this.resume = resume;
      this.next = first;
    }

    @Override
    Progress send() {
      int available = answer.isWhole() ? answer.events() : answer.made();
      while (next <= available && !waiting) {
        if (!stream.isWritable()) {
          awaitWritable();
          return Progress.OPEN;
        }
        if (isCutDue()) {
          stream.abort();
          return Progress.CUT;
        }
        boolean malformed = next == faults.get().malformedAfterTokens();
        stream.write(malformed ? Answer.malformedEvent(next) : answer.event(next));
        next++;
      }
      if (next <= answer.events()) {
        return Progress.OPEN;
      }
      stream.end();
      return Progress.DONE;
    }

    private boolean isCutDue() {
      int limit = faults.get().cutAfterTokens();
      return limit > 0 && next - first >= limit;
    }

    private void awaitWritable() {
      waiting = true;
      stream.whenWritable(
          () -> {
            waiting = false;
            resume.run();
          });
    }

    @Override
    void cut() {
      stream.abort();
    }
  }
}
