package io.samphiredyke.daemon.response;

import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * The received chunks of one response.
 *
 * <p>Chunks are numbered consecutively from 1, as numbered by the endpoint. Thread-safe; readers
 * are notified on the thread that changes the buffer.
 */
public final class ResponseBuffer {

  /** Is notified of changes of the buffer. */
  public interface Reader {

    /** Called after a change, with no lock held. */
    void onChange();

    /**
     * Returns the bytes read so far, or {@link Long#MAX_VALUE} if the reader waits for the complete
     * response. Reading from the endpoint is never paused while there is such a reader.
     */
    long readBytes();
  }

  /** The number of unread bytes above which reading from the endpoint is paused. */
  static final long MAX_UNREAD_BYTES = 256 * 1024;

  private final MemoryBudget memory;
  private final long maxBytes;
  private final List<byte[]> chunks = new ArrayList<>();
  private final List<Reader> readers = new ArrayList<>();
  private @Nullable ResponseHead head;
  private boolean isComplete;
  private long bufferedBytes;
  private boolean isOverLimit;
  private boolean isDropped;
  private final List<Runnable> resumeActions = new ArrayList<>();

  /**
   * Creates an empty buffer.
   *
   * @param memory the budget that the buffered bytes are charged to
   * @param maxBytes the maximum length of the response in bytes
   */
  public ResponseBuffer(MemoryBudget memory, long maxBytes) {
    this.memory = memory;
    this.maxBytes = maxBytes;
  }

  /** Sets the head; later calls have no effect. */
  public void head(ResponseHead value) {
    synchronized (this) {
      if (head != null) {
        return;
      }
      head = value;
    }
    notifyReaders();
  }

  /** Returns the head, or null if it has not arrived. */
  public synchronized @Nullable ResponseHead head() {
    return head;
  }

  /**
   * Adds a chunk if it is the next one and within the limit.
   *
   * @param number the number of the chunk
   * @return whether the chunk was added
   */
  public boolean add(long number, byte[] chunk) {
    synchronized (this) {
      if (isComplete || number != chunks.size() + 1L) {
        return false;
      }
      if (bufferedBytes + chunk.length > maxBytes) {
        isOverLimit = true;
        return false;
      }
      chunks.add(chunk);
      bufferedBytes += chunk.length;
      if (!isDropped) {
        memory.charge(chunk.length);
      }
    }
    notifyReaders();
    return true;
  }

  /** Marks the response as complete. */
  public void complete() {
    synchronized (this) {
      isComplete = true;
    }
    notifyReaders();
  }

  /** Returns whether a chunk was rejected because the response exceeds the limit. */
  public synchronized boolean isOverLimit() {
    return isOverLimit;
  }

  /** Releases the chunks. Readers are notified, and those that need more chunks have to abort. */
  public void drop() {
    synchronized (this) {
      if (isDropped) {
        return;
      }
      isDropped = true;
      memory.release(bufferedBytes);
      chunks.clear();
    }
    notifyReaders();
  }

  /** Returns all chunks, or null if the response is incomplete or was dropped. */
  public synchronized @Nullable List<byte[]> completeChunks() {
    return isDropped || !isComplete ? null : List.copyOf(chunks);
  }

  /** Returns whether the chunks were released. */
  public synchronized boolean isDropped() {
    return isDropped;
  }

  /** Returns whether the buffer has readers. */
  public synchronized boolean hasReaders() {
    return !readers.isEmpty();
  }

  /** Returns the length in bytes of the chunks up to and including a number. */
  public synchronized long bytesUpTo(long number) {
    return chunks.stream().limit(Math.max(0, number)).mapToLong(chunk -> chunk.length).sum();
  }

  /**
   * Returns whether all readers are so far behind that reading from the endpoint should pause.
   *
   * @param resumeAction run once when a reader has caught up or been removed; ignored if the result
   *     is false
   */
  public synchronized boolean isThrottled(Runnable resumeAction) {
    if (!isThrottled()) {
      return false;
    }
    resumeActions.add(resumeAction);
    return true;
  }

  private boolean isThrottled() {
    if (readers.isEmpty() || isComplete || isDropped) {
      return false;
    }
    return readers.stream()
        .allMatch(reader -> bufferedBytes - reader.readBytes() > MAX_UNREAD_BYTES);
  }

  /** Runs the pending resume actions if the progress of a reader ended the throttling. */
  public void readerAdvanced() {
    List<Runnable> actions;
    synchronized (this) {
      if (resumeActions.isEmpty() || isThrottled()) {
        return;
      }
      actions = List.copyOf(resumeActions);
      resumeActions.clear();
    }
    actions.forEach(Runnable::run);
  }

  /** Returns whether the response is complete. */
  public synchronized boolean isComplete() {
    return isComplete;
  }

  /** Returns the number of the last chunk, 0 if there is none. */
  public synchronized long lastChunkNumber() {
    return chunks.size();
  }

  /** Returns the length in bytes of the chunks that are in memory. */
  public synchronized long bufferedBytes() {
    return isDropped ? 0 : bufferedBytes;
  }

  /** Returns the chunk with a number, or null if it has not arrived or was dropped. */
  public synchronized byte @Nullable [] chunk(long number) {
    if (number < 1 || number > chunks.size()) {
      return null;
    }
    return chunks.get((int) number - 1);
  }

  /** Adds a reader, which is notified of changes from now on. */
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
    List<Reader> notified;
    synchronized (this) {
      notified = List.copyOf(readers);
    }
    notified.forEach(Reader::onChange);
  }
}
