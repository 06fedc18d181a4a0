package io.samphiredyke.core.stream;

import java.util.Collection;
import java.util.Locale;
import java.util.function.Predicate;

/**
 * Search for the head of another response within the bytes of a body.
 *
 * <p>A head is a status line and header lines up to a blank line. It may begin at any byte. One
 * that states the id of a request that the connection has carried is that of a copy, and so is one
 * that agrees with a received head and breaks off within the line of the id; any other is text. The
 * bytes from the begin of a possible head on are undecided until it is complete or turns out to be
 * none. Not thread-safe.
 */
public final class ResponseHeadScan {

  /** First byte of a head, the only one at which a search has to begin. */
  public static final byte FIRST_BYTE = 'H';

  /** Longest status line and header lines that are decoded, 4 and 8 KiB. */
  public static final int MAX_HEAD_BYTES = 12 * 1024;

  /** Begin of a status line; the number sign stands for a digit. */
  private static final String STATUS_LINE = "HTTP/1.# ###";

  /** Bytes of a status line from which on a body that ends with them may end with a head. */
  private static final int MIN_CUT_BYTES = 5;

  private static final int DELETE = 0x7f;
  private static final String NAME_SYMBOLS = "!#$%&'*+-.^_`|~";

  private final String idHeader;
  private final String idLineStart;
  private final Predicate<String> isCarried;
  private final Collection<String> outlines;
  private final StringBuilder head = new StringBuilder();
  private final StringBuilder outline = new StringBuilder();
  private final char[] statusLine = new char[STATUS_LINE.length()];
  private int matched;
  private boolean isInHead;
  private boolean isInName;
  private int lineStart;
  private int nameEnd;
  private long position;
  private String statedId = "";
  private boolean isWhole;
  private boolean isCut;

  /**
   * Creates a search at the begin of a body.
   *
   * @param idHeader name of the header that states the id of a request
   * @param isCarried returns whether the connection has carried a request with an id
   * @param outlines outlines of the heads that the connection has received
   */
  public ResponseHeadScan(
      String idHeader, Predicate<String> isCarried, Collection<String> outlines) {
    this.idHeader = idHeader;
    this.idLineStart = "\n" + idHeader.toLowerCase(Locale.ROOT);
    this.isCarried = isCarried;
    this.outlines = outlines;
  }

  /** Skips bytes that begin no head, while none is undecided. */
  public void skip(int bytes) {
    position += bytes;
  }

  /**
   * Reads the next byte.
   *
   * @return whether the body contains the head of another response, so that the search is over
   */
  public boolean accept(byte next) {
    position++;
    char read = (char) (next & 0xff);
    boolean isFound = isInHead && !continuesHead(read) && endsHead();
    return isFound || (matchesStatusLine(read) && beginsHead());
  }

  /** Returns whether the bytes up to this one are a status line. */
  private boolean matchesStatusLine(char read) {
    char expected = STATUS_LINE.charAt(matched);
    boolean fits = expected == '#' ? isDigit(read) : read == expected;
    if (!fits) {
      matched = 0;
      fits = read == FIRST_BYTE;
    }
    if (!fits) {
      return false;
    }
    statusLine[matched++] = read;
    if (matched < STATUS_LINE.length()) {
      return false;
    }
    matched = 0;
    return true;
  }

  /** Begins a head, also within another one; returns whether that one is a copy that breaks off. */
  private boolean beginsHead() {
    if (!statedId.isEmpty()) {
      return false;
    }
    if (isInHead && isCutCopy()) {
      isInHead = false;
      isCut = true;
      return true;
    }
    isInHead = true;
    isInName = false;
    isWhole = false;
    head.setLength(0);
    head.append(statusLine);
    outline.setLength(0);
    lineStart = 0;
    return false;
  }

  /** Appends a byte to the head in progress and returns whether the head may go on. */
  private boolean continuesHead(char read) {
    boolean isAfterReturn = head.charAt(head.length() - 1) == '\r';
    head.append(read);
    if (head.length() > MAX_HEAD_BYTES || isAfterReturn != (read == '\n')) {
      return false;
    }
    if (read == '\n') {
      return endsLine();
    }
    if (head.length() == STATUS_LINE.length() + 1) {
      return read == ' ' || read == '\r';
    }
    return isInName ? continuesName(read) : isText(read) || read == '\r';
  }

  private boolean continuesName(char read) {
    boolean isFirst = head.length() - 1 == lineStart;
    if (isFirst && read == '\r') {
      return true;
    }
    if (isFirst && (read == ' ' || read == '\t')) {
      // A further line of the header before, if there is one.
      isInName = false;
      return outline.indexOf("\n") < outline.length() - 1;
    }
    if (read == ':') {
      isInName = false;
      nameEnd = head.length() - 1;
      return !isFirst;
    }
    return isDigit(read)
        || read >= 'a' && read <= 'z'
        || read >= 'A' && read <= 'Z'
        || NAME_SYMBOLS.indexOf(read) >= 0;
  }

  private static boolean isText(char read) {
    return read >= ' ' && read != DELETE || read == '\t';
  }

  private static boolean isDigit(char read) {
    return read >= '0' && read <= '9';
  }

  /** Ends a line and returns whether another one may follow. */
  private boolean endsLine() {
    if (isInName) {
      isWhole = true;
      return false;
    }
    String line = head.substring(lineStart).stripTrailing();
    if (lineStart == 0) {
      outline.append(line).append('\n');
    } else {
      outline.append(nameInProgress());
      readId(line);
    }
    lineStart = head.length();
    nameEnd = lineStart;
    isInName = true;
    return true;
  }

  private void readId(String line) {
    int nameLength = nameEnd - lineStart;
    if (statedId.isEmpty() && line.substring(0, nameLength).equalsIgnoreCase(idHeader)) {
      String id = line.substring(nameLength + 1).strip();
      statedId = !id.isEmpty() && isCarried.test(id) ? id : "";
    }
  }

  /** Ends the head in progress and returns whether it is that of another response. */
  private boolean endsHead() {
    isInHead = false;
    isCut = statedId.isEmpty() && !isWhole && isCutCopy();
    return isCut || !statedId.isEmpty();
  }

  /**
   * Returns whether the head in progress, which the last byte doesn't continue, is a received one
   * up to the name of the header with the id.
   */
  private boolean isCutCopy() {
    if (lineStart == 0 || head.length() > MAX_HEAD_BYTES) {
      return false;
    }
    String read = headOutline();
    for (String received : outlines) {
      int idLine = received.toLowerCase(Locale.ROOT).indexOf(idLineStart);
      if (idLine >= 0 && read.regionMatches(0, received, 0, idLine + idLineStart.length())) {
        return true;
      }
    }
    return false;
  }

  /** Returns the number of last bytes that are undecided. */
  public int undecidedBytes() {
    return isInHead ? head.length() : matched;
  }

  /** Returns the position of the first undecided byte, or of the head that was found. */
  public long headPosition() {
    return position - (isCut || !statedId.isEmpty() ? head.length() : undecidedBytes());
  }

  /** Returns the outline of the head that was found, empty if it is not whole. */
  public String foundOutline() {
    return isWhole ? outline.toString() : "";
  }

  /** Returns the length of the head that was found, as far as it has been read. */
  public int foundBytes() {
    return head.length();
  }

  /** Returns the id that the head which was found states, empty if it was cut before it. */
  public String statedId() {
    return statedId;
  }

  /** Returns whether a body that ends here ends within the head of another response. */
  public boolean endsWithin() {
    if (isInHead && (!statedId.isEmpty() || agrees(headOutline()) || isCutCopy())) {
      return true;
    }
    return matched >= MIN_CUT_BYTES && agrees(new String(statusLine, 0, matched));
  }

  private boolean agrees(String cut) {
    for (String outline : outlines) {
      if (outline.startsWith(cut)) {
        return true;
      }
    }
    return false;
  }

  /** Returns the outline of the head in progress; its last line may be cut. */
  private String headOutline() {
    if (lineStart == 0) {
      return head.toString().stripTrailing();
    }
    if (isInName) {
      return outline + head.substring(lineStart).strip();
    }
    return outline + nameInProgress();
  }

  /** Returns the name of the header in the line in progress, empty if it continues the last one. */
  private String nameInProgress() {
    String name = head.substring(lineStart, nameEnd);
    return name.isEmpty() ? "" : name + '\n';
  }

  /**
   * Returns the outline of a head: its status line and the names of its headers.
   *
   * @param statusLine status line without line end
   * @param names names of the headers in their order
   */
  public static String outlineOf(String statusLine, Iterable<? extends CharSequence> names) {
    StringBuilder whole = new StringBuilder(statusLine.stripTrailing()).append('\n');
    for (CharSequence name : names) {
      whole.append(name).append('\n');
    }
    return whole.toString();
  }
}
