package io.samphiredyke.daemon;

import io.samphiredyke.core.ownership.TicketKey;
import io.samphiredyke.schema.settings.type.NamedKey;
import java.util.List;

/** Converts the keys in the settings to the keys that tickets are signed with. */
final class TicketKeys {

  private TicketKeys() {}

  /**
   * Converts the keys and keeps their order.
   *
   * @throws IllegalArgumentException if the id of a key is not a number from 0 to 255
   */
  static List<TicketKey> of(List<NamedKey> keys) {
    return keys.stream()
        .map(key -> new TicketKey(Integer.parseInt(key.id()), key.bytes()))
        .toList();
  }
}
