package io.samphiredyke.daemon.response;

import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * The parts of one answer, as far as they have arrived.
 *
 * <p>Parts are numbered from 1 without gaps, in the numbering of the endpoint. Safe for use by
 * several threads; readers are told of changes on the thread that makes them.
 */
public final class ResponseBuffer {

  /** Is told that there is more to read. */
  public interface Reader {

    /** Called after a change, with no lock held. */
    void onChange();

    /** Returns the bytes read so far, or {@link Long#MAX_VALUE} if it waits for the whole. */
    long readBytes();
  }

  /** Unread bytes above which the endpoint is held back. */
  static final long MAX_UNREAD_BYTES = 256 * 1024;

  private final MemoryBudget memory;
  private final long limit;
  private final List<byte[]> parts = new ArrayList<>();
  private final List<Reader> readers = new ArrayList<>();
  private @Nullable ResponseHead head;
  private boolean isComplete;
  private long bytes;
  private boolean isOverLimit;
  private boolean isDropped;
  private final List<Runnable> drainedActions = new ArrayList<>();

  /**
   * Creates an empty answer.
   *
   * @param memory counts the bytes held
   * @param limit the longest answer, in bytes
   */
  public ResponseBuffer(MemoryBudget memory, long limit) {
    this.memory = memory;
    this.limit = limit;
  }

  /** Sets the head, once. */
  public void head(ResponseHead value) {
    synchronized (this) {
      if (head != null) {
        return;
      }
      head = value;
    }
    notifyReaders();
  }

  /** Returns the head, or null before it arrived. */
  public synchronized @Nullable ResponseHead head() {
    return head;
  }

  /**
   * Adds a part.
   *
   * @param number the part's number
   * @return whether it was the next part and within the limit; others are dropped
   */
  public boolean add(long number, byte[] part) {
    synchronized (this) {
      if (isComplete || number != parts.size() + 1L) {
        return false;
      }
      if (bytes + part.length > limit) {
        isOverLimit = true;
        return false;
      }
      parts.add(part);
      bytes += part.length;
      if (!isDropped) {
        memory.add(part.length);
      }
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

  /** Returns whether a part was refused because the answer is too long. */
  public synchronized boolean isOverLimit() {
    return isOverLimit;
  }

  /** Frees the memory; readers that are not at the end are told and cut off. */
  public void drop() {
    synchronized (this) {
      if (isDropped) {
        return;
      }
      isDropped = true;
      memory.release(bytes);
      parts.clear();
    }
    notifyReaders();
  }

  /** Returns all parts of an answer that is whole, or null if they are gone or not all there. */
  public synchronized @Nullable List<byte[]> whole() {
    return isDropped || !isComplete ? null : List.copyOf(parts);
  }

  /** Returns whether the parts are gone. */
  public synchronized boolean isDropped() {
    return isDropped;
  }

  /** Returns whether someone still reads. */
  public synchronized boolean hasReaders() {
    return !readers.isEmpty();
  }

  /** Returns the length of the parts up to a number, in bytes. */
  public synchronized long bytesUpTo(long number) {
    return parts.stream().limit(Math.max(0, number)).mapToLong(part -> part.length).sum();
  }

  /**
   * Asks whether all readers are so slow that no more should be fetched.
   *
   * @param onDrained is run once when a reader has caught up or left; unused if the answer is false
   */
  public synchronized boolean isHeldBack(Runnable onDrained) {
    if (!isHeldBack()) {
      return false;
    }
    drainedActions.add(onDrained);
    return true;
  }

  private boolean isHeldBack() {
    if (readers.isEmpty() || isComplete || isDropped) {
      return false;
    }
    return readers.stream().allMatch(reader -> bytes - reader.readBytes() > MAX_UNREAD_BYTES);
  }

  /** Learns that a reader went on. */
  public void readerAdvanced() {
    List<Runnable> actions;
    synchronized (this) {
      if (drainedActions.isEmpty() || isHeldBack()) {
        return;
      }
      actions = List.copyOf(drainedActions);
      drainedActions.clear();
    }
    actions.forEach(Runnable::run);
  }

  /** Returns whether the answer is whole. */
  public synchronized boolean isComplete() {
    return isComplete;
  }

  /** Returns the number of the last part, 0 if there is none. */
  public synchronized long lastNumber() {
    return parts.size();
  }

  /** Returns the length of all parts held, in bytes. */
  public synchronized long bytes() {
    return isDropped ? 0 : bytes;
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
  public void removeReader(Reader reader) {
    synchronized (this) {
      readers.remove(reader);
    }
    readerAdvanced();
  }

  private void notifyReaders() {
    List<Reader> told;
    synchronized (this) {
      told = List.copyOf(readers);
    }
    told.forEach(Reader::onChange);
  }
}
