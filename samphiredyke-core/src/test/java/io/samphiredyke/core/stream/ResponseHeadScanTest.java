package io.samphiredyke.core.stream;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.IntRange;

/** Search for the heads of other responses in bodies. */
class ResponseHeadScanTest {

  private static final String HEAD =
      "HTTP/1.1 200 OK\r\nDate: now\r\nId: carried\r\nLength: 3\r\n\r\n";
  private static final List<String> OUTLINES =
      List.of(
          ResponseHeadScan.outlineOf("HTTP/1.1 503 Full", List.of("id")),
          ResponseHeadScan.outlineOf("HTTP/1.1 200 OK", List.of("Date", "Id", "Length")));
  private static final String SOUND = "sound";

  private static ResponseHeadScan scan() {
    return new ResponseHeadScan("id", id -> id.equals("carried"), OUTLINES);
  }

  /** Returns where another head begins and the id that it states, or that the body is sound. */
  private static String verdict(String body) {
    ResponseHeadScan scan = scan();
    byte[] bytes = body.getBytes(StandardCharsets.ISO_8859_1);
    for (int i = 0; i < bytes.length; i++) {
      boolean isSkipped = scan.undecidedBytes() == 0 && bytes[i] != ResponseHeadScan.FIRST_BYTE;
      if (isSkipped) {
        scan.skip(1);
      } else if (scan.accept(bytes[i])) {
        return scan.headPosition() + " " + scan.statedId();
      }
      assertThat(scan.undecidedBytes()).isLessThanOrEqualTo(ResponseHeadScan.MAX_HEAD_BYTES);
    }
    boolean isCut = scan.endsWithin();
    return isCut ? scan.headPosition() + " " + scan.statedId() : SOUND;
  }

  /** Text in which parts of heads occur, and none that is whole and states a carried id. */
  @Provide
  Arbitrary<String> text() {
    Arbitrary<String> part =
        Arbitraries.of(
            "HTTP/1.1 200 OK\r\nDate: now\r\n\r\n",
            "HTTP/1.1 200 OK\r\nDate: now\r\nId: other\r\n\r\n",
            "HTTP/1.1 404 Not Found\r\nServer",
            "HTTP/1.0 20",
            "HTTP/1.1 200 OK\r\n",
            "HTTP/1.",
            "HHTTP/",
            "\nId: carried\r\n\r\n",
            "GET /x HTTP/1.1\r\n",
            ": y\r\n",
            " ",
            "\r\n",
            "text");
    return part.list().ofMaxSize(10).map(parts -> String.join("", parts) + ".");
  }

  @Property(tries = 2_000)
  void textThatSpeaksOfHttpIsSound(@ForAll("text") String text) {
    assertThat(verdict(text)).isEqualTo(SOUND);
  }

  /** Guards against a copy that is not found because of what is before it, or how it is cut. */
  @Property(tries = 2_000)
  void copyIsFoundWhereverItBeginsAndEnds(
      @ForAll("text") String before, @ForAll @IntRange(min = 5, max = 90) int length) {
    String copy = (HEAD + "body").substring(0, Math.min(length, HEAD.length() + 4));
    String stated = copy.contains("Id: carried\r\n") ? "carried" : "";
    assertThat(verdict(before + copy)).endsWith(" " + stated).isNotEqualTo(SOUND);
  }

  @Property(tries = 2_000)
  void positionIsThatOfTheCopy(
      @ForAll("text") String before, @ForAll @IntRange(min = 13, max = 90) int length) {
    String copy = HEAD.substring(0, Math.min(length, HEAD.length()));
    String text = before.replaceAll("[\r\n]", "") + "\n";
    assertThat(verdict(text + copy)).startsWith(text.length() + " ");
  }

  @Property(tries = 2_000)
  void copyThatIsCutBehindItsIdIsFoundBeforeAnyText(
      @ForAll("text") String after, @ForAll @IntRange(min = 0, max = 20) int missing) {
    int idEnd = HEAD.indexOf("carried\r\n") + "carried\r\n".length();
    String cut = HEAD.substring(0, Math.max(idEnd, HEAD.length() - missing));
    assertThat(verdict(cut + after)).isEqualTo("0 carried");
  }

  /** Guards against a late copy that is cut before its id ends, with more of the body behind it. */
  @Example
  void copyThatIsCutInTheLineOfItsIdIsFoundBeforeMoreOfTheBody() {
    int idLine = HEAD.indexOf("Id: carried");
    for (int length = idLine + 2; length <= HEAD.indexOf("\r\nLength"); length++) {
      String body = "a wh" + HEAD.substring(0, length) + "\nole body";
      assertThat(verdict(body)).as("cut to %d bytes", length).isEqualTo("4 ");
      String last = "a wh" + HEAD.substring(0, length);
      assertThat(verdict(last + "ole")).as("cut to %d bytes, at the end", length).isEqualTo("4 ");
      assertThat(verdict(last + "ole HTTP/1.1 200 is fine")).as("before a quote").isEqualTo("4 ");
    }
    assertThat(verdict("a wh" + HEAD.substring(0, idLine) + "\nole body")).isEqualTo(SOUND);
  }

  /** Fewer bytes than a protocol and a slash are the end of many words. */
  @Example
  void endOfAFewBytesIsSound() {
    for (int length = 0; length < 5; length++) {
      assertThat(verdict("text " + HEAD.substring(0, length))).isEqualTo(SOUND);
    }
  }

  @Example
  void endThatAgreesWithNoReceivedHeadIsSound() {
    for (String end :
        List.of(
            "HTTP/1.0",
            "HTTP/1.1 4",
            "HTTP/1.1 200 Ok",
            "HTTP/1.1 200 OK\r\nSer",
            "HTTP/1.1 200 OK\r\nDate: now\r\nDate",
            "HTTP/1.1 503 Full\r\nId: other\r\nX: y")) {
      assertThat(verdict("text " + end)).as(end).isEqualTo(SOUND);
    }
  }

  @Example
  void headIsReadAsTheDecoderReadsIt() {
    assertThat(verdict("HTTP/1.1 200\r\niD:carried\r\n\r\n")).isEqualTo("0 carried");
    assertThat(verdict("HTTP/1.1 200 \r\nA: b\r\n c\r\nID: \t carried \r\n\r\n")).startsWith("0");
    assertThat(verdict("HTTP/1.1 200 OK\r\nId: other\r\nId: carried\r\n\r\n")).startsWith("0");
    assertThat(verdict("HTTP/1.1 200 OK\r\nA: b\r\n c\r\nDa")).isEqualTo(SOUND);
    assertThat(verdict("HTTP/1.1 2000\r\nId: carried\r\n\r\n")).isEqualTo(SOUND);
    assertThat(verdict("HTTP/1.1 200 OK\nId: carried\n\n")).isEqualTo(SOUND);
    assertThat(verdict("HTTP/1.1 200 OK\r\nId : carried\r\n\r\n")).isEqualTo(SOUND);
    assertThat(verdict("HTTP/1.1 200 OK\r\nA\u0001: b\r\nId: carried\r\n\r\n")).isEqualTo(SOUND);
  }

  @Example
  void headThatIsLongerThanADecodedOneIsNone() {
    String line = "A: " + "b".repeat(100) + "\r\n";
    assertThat(verdict("HTTP/1.1 200 OK\r\n" + line.repeat(110) + "Id: carried\r\n\r\n"))
        .isEqualTo("0 carried");
    assertThat(verdict("HTTP/1.1 200 OK\r\n" + line.repeat(130) + "Id: carried\r\n\r\n"))
        .isEqualTo(SOUND);
  }
}
