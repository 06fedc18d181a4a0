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
 * Writes tickets as URL-safe tokens and reads them back.
 *
 * <p>A token is base64url without padding of: format (1 byte), key id (1 byte), the fields of the
 * ticket, and the first 16 bytes of the HMAC-SHA256 of all before it. The first key signs, every
 * key verifies: a new key is first added behind the old one everywhere, then moved to the front,
 * and the old one is dropped when its last ticket has expired.
 */
public final class TicketCodec {

  /** Length of the authentication code in bytes. */
  public static final int MAC_BYTES = 16;

  /** Greatest length of a token in characters. */
  public static final int MAX_TOKEN_LENGTH = 1000;

  private static final String ALGORITHM = "HmacSHA256";
  private static final int FORMAT = 1;
  private static final int HEADER_BYTES = 2;

  private final List<TicketKey> keys;

  /**
   * Creates a codec.
   *
   * @param keys the keys with distinct ids; the first signs
   * @throws IllegalArgumentException if there is no key or an id occurs twice
   */
  public TicketCodec(List<TicketKey> keys) {
    long distinct = keys.stream().map(TicketKey::id).distinct().count();
    if (keys.isEmpty() || distinct != keys.size()) {
      throw new IllegalArgumentException("at least one key and distinct key ids are needed");
    }
    this.keys = List.copyOf(keys);
  }

  /**
   * Writes a ticket.
   *
   * @param ticket the ticket
   * @return the token, without {@code .}
   * @throws IllegalArgumentException if the token would be too long
   */
  public String encode(Ticket ticket) {
    TicketKey key = keys.get(0);
    byte[] signed = write(ticket, key.id());
    byte[] bytes = Arrays.copyOf(signed, signed.length + MAC_BYTES);
    System.arraycopy(mac(key, signed), 0, bytes, signed.length, MAC_BYTES);
    String token = Base64.getUrlEncoder().withoutPadding().encodeToString(bytes);
    if (token.length() > MAX_TOKEN_LENGTH) {
      throw new IllegalArgumentException("names in the ticket are too long");
    }
    return token;
  }

  /**
   * Reads a token and refuses it once it has expired.
   *
   * @param token the token
   * @param nowEpochMillis the time
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
   * Reads a token, whether it has expired or not.
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
    // One ticket has one written form, or a request could have two ids.
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
      throw new IllegalStateException("every Java platform has " + ALGORITHM, e);
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
