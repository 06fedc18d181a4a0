package io.samphiredyke.daemon.answer;

import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * The parts of one answer, as far as they have arrived.
 *
 * <p>Parts are numbered from 1 without gaps, in the numbering of the endpoint. Safe for use by
 * several threads; readers are told of changes on the thread that makes them.
 */
public final class AnswerBuffer {

  /** Is told that there is more to read. */
  @FunctionalInterface
  public interface Reader {

    /** Called after a change, with no lock held. */
    void onChange();
  }

  private final List<byte[]> parts = new ArrayList<>();
  private final List<Reader> readers = new ArrayList<>();
  private @Nullable AnswerHead head;
  private boolean isComplete;
  private long bytes;

  /** Sets the head, once. */
  public void head(AnswerHead value) {
    synchronized (this) {
      if (head != null) {
        return;
      }
      head = value;
    }
    notifyReaders();
  }

  /** Returns the head, or null before it arrived. */
  public synchronized @Nullable AnswerHead head() {
    return head;
  }

  /**
   * Adds a part.
   *
   * @param number the part's number
   * @return whether it was the next part; others are dropped
   */
  public boolean add(long number, byte[] part) {
    synchronized (this) {
      if (isComplete || number != parts.size() + 1L) {
        return false;
      }
      parts.add(part);
      bytes += part.length;
    }
    notifyReaders();
    return true;
  }

  /** Marks the answer as whole. */
  public void complete() {
    synchronized (this) {
      isComplete = true;
    }
    notifyReaders();
  }

  /** Returns whether the answer is whole. */
  public synchronized boolean isComplete() {
    return isComplete;
  }

  /** Returns the number of the last part, 0 if there is none. */
  public synchronized long lastNumber() {
    return parts.size();
  }

  /** Returns the length of all parts, in bytes. */
  public synchronized long bytes() {
    return bytes;
  }

  /** Returns the part with a number, or null if it has not arrived. */
  public synchronized byte @Nullable [] part(long number) {
    if (number < 1 || number > parts.size()) {
      return null;
    }
    return parts.get((int) number - 1);
  }

  /** Adds a reader. */
  public synchronized void addReader(Reader reader) {
    readers.add(reader);
  }

  /** Removes a reader. */
  public synchronized void removeReader(Reader reader) {
    readers.remove(reader);
  }

  private void notifyReaders() {
    List<Reader> told;
    synchronized (this) {
      told = List.copyOf(readers);
    }
    told.forEach(Reader::onChange);
  }
}
