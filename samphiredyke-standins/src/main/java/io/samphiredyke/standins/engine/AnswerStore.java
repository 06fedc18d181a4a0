package io.samphiredyke.standins.engine;

import io.samphiredyke.net.http.HttpExchange;
import io.samphiredyke.standins.server.Timers;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

/**
 * The answers that can be read: those being made, and finished ones for the resume window.
 *
 * <p>An execution that no one reads for the window is cancelled; a finished answer that no one read
 * to its end within the window counts as wasted.
 */
final class AnswerStore {

  private final EngineModel model;
  private final Timers timers;
  private final long windowNanos;
  private final Supplier<EngineFaults> faults;
  private final Map<Long, Kept> byExecution = new HashMap<>();
  private final Map<String, Kept> newestById = new HashMap<>();

  AnswerStore(EngineModel model, Timers timers, long windowNanos, Supplier<EngineFaults> faults) {
    this.model = model;
    this.timers = timers;
    this.windowNanos = windowNanos;
    this.faults = faults;
  }

  private static final class Kept {
    final long execution;
    final Answer answer;
    final List<AnswerReader> readers = new ArrayList<>();
    long leftAt;
    boolean readToEnd;

    Kept(long execution, Answer answer) {
      this.execution = execution;
      this.answer = answer;
    }
  }

  void add(long execution, Answer answer) {
    Kept kept = new Kept(execution, answer);
    byExecution.put(execution, kept);
    newestById.put(answer.id(), kept);
    startWindow(kept);
  }

  /** Sends an execution's answer as a stream from an event's number, or whole. */
  void read(long execution, HttpExchange exchange, boolean stream) {
    Kept kept = byExecution.get(execution);
    if (kept != null) {
      attach(kept, exchange, stream, 1);
    }
  }

  /**
   * Resumes the newest stream of a request id after an event.
   *
   * @return whether the id is known
   */
  boolean resume(String id, int after, HttpExchange exchange) {
    Kept kept = newestById.get(id);
    if (kept == null) {
      return false;
    }
    attach(kept, exchange, true, after + 1);
    return true;
  }

  private void attach(Kept kept, HttpExchange exchange, boolean stream, int first) {
    AnswerReader reader =
        stream
            ? AnswerReader.stream(kept.answer, exchange, first, faults, () -> serve(kept))
            : AnswerReader.whole(kept.answer, exchange);
    kept.readers.add(reader);
    exchange
        .disconnected()
        .thenRun(
            () -> {
              kept.readers.remove(reader);
              startWindow(kept);
            });
    serve(kept);
  }

  /** Takes a token that the model made. */
  void advance(EmittedToken token) {
    Kept kept = byExecution.get(token.execution());
    if (kept == null) {
      return;
    }
    kept.answer.advance(token);
    serve(kept);
    if (token.last()) {
      startWindow(kept);
    }
  }

  private void serve(Kept kept) {
    for (AnswerReader reader : List.copyOf(kept.readers)) {
      AnswerReader.Progress progress = reader.send();
      if (progress == AnswerReader.Progress.OPEN) {
        continue;
      }
      kept.readToEnd |= progress == AnswerReader.Progress.DONE;
      kept.readers.remove(reader);
      startWindow(kept);
    }
  }

  private void startWindow(Kept kept) {
    kept.leftAt = timers.now();
    timers.after(windowNanos, () -> expire(kept));
  }

  private void expire(Kept kept) {
    boolean read = !kept.readers.isEmpty() || timers.now() - kept.leftAt < windowNanos;
    if (read || !byExecution.containsKey(kept.execution)) {
      return;
    }
    if (!kept.answer.isWhole()) {
      model.cancel(kept.execution, timers.now());
    } else if (!kept.readToEnd) {
      model.discardAnswer(kept.answer.id(), kept.answer.prefilledTokens());
    }
    forget(kept);
  }

  /**
   * Cancels the unfinished executions of a request id and forgets its answers.
   *
   * @return whether the id was known
   */
  boolean cancel(String id) {
    List<Kept> known =
        byExecution.values().stream().filter(kept -> kept.answer.id().equals(id)).toList();
    for (Kept kept : known) {
      model.cancel(kept.execution, timers.now());
      kept.readers.forEach(AnswerReader::cut);
      forget(kept);
    }
    return !known.isEmpty();
  }

  /** Cuts all readers and forgets all answers. */
  void clear() {
    byExecution.values().forEach(kept -> List.copyOf(kept.readers).forEach(AnswerReader::cut));
    byExecution.clear();
    newestById.clear();
  }

  /** Returns how many answers are kept. */
  int size() {
    return byExecution.size();
  }

  private void forget(Kept kept) {
    byExecution.remove(kept.execution);
    newestById.remove(kept.answer.id(), kept);
  }
}
