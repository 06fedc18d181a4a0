package io.samphiredyke.core.ownership;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.List;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * Encodes tickets as URL-safe tokens and decodes them.
 *
 * <p>A token is the base64url encoding, without padding, of the format version (1 byte), the key id
 * (1 byte), the fields of the ticket, and the first 16 bytes of the HMAC-SHA256 of all preceding
 * bytes. The first key signs and all keys verify. To rotate keys, the new key is appended after the
 * old one on every host, then moved to the front; the old key is removed when the last ticket
 * signed with it has expired.
 */
public final class TicketCodec {

  /** Length of the authentication code in bytes. */
  public static final int MAC_BYTES = 16;

  /** Maximum length of a token in characters. */
  public static final int MAX_TOKEN_LENGTH = 1000;

  private static final String ALGORITHM = "HmacSHA256";
  private static final int FORMAT = 1;
  private static final int HEADER_BYTES = 2;

  private final List<TicketKey> keys;

  /**
   * Creates a codec.
   *
   * @param keys the keys with distinct ids; the first one signs
   * @throws IllegalArgumentException if there is no key or an id occurs twice
   */
  public TicketCodec(List<TicketKey> keys) {
    long distinct = keys.stream().map(TicketKey::id).distinct().count();
    if (keys.isEmpty() || distinct != keys.size()) {
      throw new IllegalArgumentException(
          "at least one ticket key is required, and key ids must be distinct");
    }
    this.keys = List.copyOf(keys);
  }

  /**
   * Encodes a ticket.
   *
   * @param ticket the ticket
   * @return the token, which contains no {@code .}
   * @throws IllegalArgumentException if the token would be too long
   */
  public String encode(Ticket ticket) {
    TicketKey key = keys.get(0);
    byte[] signed = write(ticket, key.id());
    byte[] bytes = Arrays.copyOf(signed, signed.length + MAC_BYTES);
    System.arraycopy(mac(key, signed), 0, bytes, signed.length, MAC_BYTES);
    String token = Base64.getUrlEncoder().withoutPadding().encodeToString(bytes);
    if (token.length() > MAX_TOKEN_LENGTH) {
      throw new IllegalArgumentException(
          "the names in the ticket make the token longer than " + MAX_TOKEN_LENGTH + " characters");
    }
    return token;
  }

  /**
   * Decodes a token and refuses it if it has expired.
   *
   * @param token the token
   * @param nowEpochMillis current time
   * @throws TicketException if the token is malformed, forged or expired
   */
  public Ticket decode(String token, long nowEpochMillis) throws TicketException {
    Ticket ticket = decodeIgnoringExpiry(token);
    if (ticket.isExpired(nowEpochMillis)) {
      throw new TicketException(TicketException.Reason.EXPIRED);
    }
    return ticket;
  }

  /**
   * Decodes a token, regardless of its expiry.
   *
   * @param token the token
   * @throws TicketException if the token is malformed or forged
   */
  public Ticket decodeIgnoringExpiry(String token) throws TicketException {
    byte[] bytes = base64(token);
    if (bytes.length <= HEADER_BYTES + MAC_BYTES || bytes[0] != FORMAT) {
      throw new TicketException(TicketException.Reason.MALFORMED);
    }
    byte[] signed = Arrays.copyOf(bytes, bytes.length - MAC_BYTES);
    byte[] code = Arrays.copyOfRange(bytes, signed.length, bytes.length);
    if (!isAuthentic(signed, code)) {
      throw new TicketException(TicketException.Reason.FORGED);
    }
    return read(signed);
  }

  private static byte[] base64(String token) throws TicketException {
    if (token.length() > MAX_TOKEN_LENGTH) {
      throw new TicketException(TicketException.Reason.MALFORMED);
    }
    byte[] bytes;
    try {
      bytes = Base64.getUrlDecoder().decode(token);
    } catch (IllegalArgumentException e) {
      throw new TicketException(TicketException.Reason.MALFORMED);
    }
    // Accept only the canonical encoding; otherwise one request could have two ids.
    if (!Base64.getUrlEncoder().withoutPadding().encodeToString(bytes).equals(token)) {
      throw new TicketException(TicketException.Reason.MALFORMED);
    }
    return bytes;
  }

  private boolean isAuthentic(byte[] signed, byte[] code) {
    int keyId = Byte.toUnsignedInt(signed[1]);
    for (TicketKey key : keys) {
      if (key.id() != keyId) {
        continue;
      }
      byte[] expected = Arrays.copyOf(mac(key, signed), MAC_BYTES);
      return MessageDigest.isEqual(expected, code);
    }
    return false;
  }

  private static byte[] mac(TicketKey key, byte[] signed) {
    try {
      Mac mac = Mac.getInstance(ALGORITHM);
      mac.init(new SecretKeySpec(key.secret(), ALGORITHM));
      return mac.doFinal(signed);
    } catch (GeneralSecurityException e) {
      throw new IllegalStateException(ALGORITHM + " is not available", e);
    }
  }

  private static byte[] write(Ticket ticket, int keyId) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try (DataOutputStream out = new DataOutputStream(bytes)) {
      out.writeByte(FORMAT);
      out.writeByte(keyId);
      writeIncarnation(out, ticket.id());
      out.writeLong(ticket.issuedAtEpochMillis());
      out.writeLong(ticket.expiresAtEpochMillis());
      out.writeByte(ticket.chain().size());
      for (ChainMember member : ticket.chain()) {
        writeIncarnation(out, member.incarnation());
        out.writeUTF(member.address());
        out.writeBoolean(member.mayReceivePayload());
      }
      out.writeUTF(ticket.customer());
      out.writeUTF(ticket.service());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return bytes.toByteArray();
  }

  private static Ticket read(byte[] signed) throws TicketException {
    ByteArrayInputStream bytes = new ByteArrayInputStream(signed);
    try (DataInputStream in = new DataInputStream(bytes)) {
      in.skipNBytes(HEADER_BYTES);
      Incarnation id = readIncarnation(in);
      long issuedAt = in.readLong();
      long expiresAt = in.readLong();
      int members = in.readUnsignedByte();
      List<ChainMember> chain = new ArrayList<>();
      for (int i = 0; i < members; i++) {
        chain.add(new ChainMember(readIncarnation(in), in.readUTF(), in.readBoolean()));
      }
      Ticket ticket = new Ticket(id, chain, in.readUTF(), in.readUTF(), issuedAt, expiresAt);
      if (bytes.available() > 0) {
        throw new TicketException(TicketException.Reason.MALFORMED);
      }
      return ticket;
    } catch (IOException | IllegalArgumentException e) {
      throw new TicketException(TicketException.Reason.MALFORMED);
    }
  }

  private static void writeIncarnation(DataOutputStream out, Incarnation incarnation)
      throws IOException {
    out.writeLong(incarnation.high());
    out.writeLong(incarnation.low());
  }

  private static Incarnation readIncarnation(DataInputStream in) throws IOException {
    return new Incarnation(in.readLong(), in.readLong());
  }
}
