package io.samphiredyke.core.pool;

import java.util.Iterator;
import java.util.NoSuchElementException;
import java.util.SortedSet;
import java.util.TreeSet;
import org.jspecify.annotations.Nullable;

/**
 * Endpoints with a free slot in the order of {@link IndexedEndpoint#BY_COST}.
 *
 * <p>Load pattern: many hosts without a path. Their requests may only go to endpoints that run no
 * probe, of which there are few, so these are kept apart.
 */
final class FreeEndpoints implements Iterable<IndexedEndpoint> {

  private final TreeSet<IndexedEndpoint> unprobed = new TreeSet<>(IndexedEndpoint.BY_COST);
  private final TreeSet<IndexedEndpoint> probed = new TreeSet<>(IndexedEndpoint.BY_COST);

  private TreeSet<IndexedEndpoint> part(IndexedEndpoint entry) {
    return entry.isProbed ? probed : unprobed;
  }

  void add(IndexedEndpoint entry) {
    part(entry).add(entry);
  }

  void remove(IndexedEndpoint entry) {
    part(entry).remove(entry);
  }

  boolean contains(IndexedEndpoint entry) {
    return part(entry).contains(entry);
  }

  boolean isEmpty() {
    return unprobed.isEmpty() && probed.isEmpty();
  }

  /** Returns those that run no probe, in order. */
  SortedSet<IndexedEndpoint> unprobed() {
    return unprobed;
  }

  @Override
  public Iterator<IndexedEndpoint> iterator() {
    return probed.isEmpty() ? unprobed.iterator() : new Merged(unprobed, probed);
  }

  /** Iterator of two sets in their common order. */
  private static final class Merged implements Iterator<IndexedEndpoint> {

    private final Iterator<IndexedEndpoint> left;
    private final Iterator<IndexedEndpoint> right;
    private @Nullable IndexedEndpoint nextLeft;
    private @Nullable IndexedEndpoint nextRight;

    private Merged(SortedSet<IndexedEndpoint> left, SortedSet<IndexedEndpoint> right) {
      this.left = left.iterator();
      this.right = right.iterator();
      this.nextLeft = nextOf(this.left);
      this.nextRight = nextOf(this.right);
    }

    private static @Nullable IndexedEndpoint nextOf(Iterator<IndexedEndpoint> iterator) {
      return iterator.hasNext() ? iterator.next() : null;
    }

    @Override
    public boolean hasNext() {
      return nextLeft != null || nextRight != null;
    }

    @Override
    public IndexedEndpoint next() {
      IndexedEndpoint first = nextLeft;
      IndexedEndpoint second = nextRight;
      if (first != null && (second == null || IndexedEndpoint.BY_COST.compare(first, second) < 0)) {
        nextLeft = nextOf(left);
        return first;
      }
      if (second == null) {
        throw new NoSuchElementException();
      }
      nextRight = nextOf(right);
      return second;
    }
  }
}
