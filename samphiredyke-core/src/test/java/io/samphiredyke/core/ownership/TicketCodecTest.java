package io.samphiredyke.core.ownership;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

import java.util.List;
import org.junit.jupiter.api.Test;

class TicketCodecTest {

  private static final TicketKey OLD = new TicketKey(1, "sixteen bytes or more".getBytes(UTF_8));
  private static final TicketKey NEW =
      new TicketKey(2, "another secret of 16 bytes".getBytes(UTF_8));

  private final TicketCodec codec = new TicketCodec(List.of(OLD));
  private final String token = codec.encode(Fixtures.ticket());

  @Test
  void decodesItsOwnTokens() throws TicketException {
    assertThat(codec.decode(token, Fixtures.NOW)).isEqualTo(Fixtures.ticket());
    assertThat(token).matches("[A-Za-z0-9_-]+");
  }

  @Test
  void decodesTicketsOfThePreviousKeyAfterRotation() throws TicketException {
    TicketCodec rotated = new TicketCodec(List.of(NEW, OLD));
    assertThat(rotated.decode(token, Fixtures.NOW)).isEqualTo(Fixtures.ticket());
    String fresh = rotated.encode(Fixtures.ticket());
    assertRefused(codec, fresh, TicketException.Reason.FORGED);
  }

  @Test
  void refusesAnExpiredTicket() throws TicketException {
    assertThatExceptionOfType(TicketException.class)
        .isThrownBy(() -> codec.decode(token, Fixtures.EXPIRY))
        .satisfies(e -> assertThat(e.reason()).isEqualTo(TicketException.Reason.EXPIRED));
    assertThat(codec.decodeIgnoringExpiry(token)).isEqualTo(Fixtures.ticket());
  }

  @Test
  void refusesEveryTokenWithOneCharacterChanged() {
    for (int i = 0; i < token.length(); i++) {
      char changed = token.charAt(i) == 'A' ? 'B' : 'A';
      String forged = token.substring(0, i) + changed + token.substring(i + 1);
      assertThatExceptionOfType(TicketException.class)
          .isThrownBy(() -> codec.decode(forged, Fixtures.NOW));
    }
  }

  @Test
  void refusesMalformedTokens() {
    for (String text : List.of("", "A", "AQE", "!!", token + "=", "A".repeat(2000))) {
      assertRefused(codec, text, TicketException.Reason.MALFORMED);
    }
  }

  private static void assertRefused(TicketCodec codec, String text, TicketException.Reason reason) {
    assertThatExceptionOfType(TicketException.class)
        .isThrownBy(() -> codec.decode(text, Fixtures.NOW))
        .satisfies(e -> assertThat(e.reason()).isEqualTo(reason));
  }
}
