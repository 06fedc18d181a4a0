package io.samphiredyke.cli.command;

import io.samphiredyke.cli.ExitCode;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.security.SecureRandom;
import java.util.Base64;
import java.util.HexFormat;

/** Subcommand that generates API keys and computes their digests. */
final class KeyCommand {

  private static final int KEY_BYTES = 32;
  private static final String KEY_PREFIX = "sdk-";

  private KeyCommand() {}

  static ExitCode create(CommandContext context) {
    byte[] bytes = new byte[KEY_BYTES];
    new SecureRandom().nextBytes(bytes);
    String key = KEY_PREFIX + Base64.getUrlEncoder().withoutPadding().encodeToString(bytes);
    context.out().println("key:    " + key);
    context.out().println("digest: " + digest(key));
    return ExitCode.OK;
  }

  static ExitCode digest(CommandContext context) throws CommandException {
    context.out().println(digest(context.requiredFlag("key")));
    return ExitCode.OK;
  }

  static String digest(String key) {
    try {
      MessageDigest sha256 = MessageDigest.getInstance("SHA-256");
      return HexFormat.of().formatHex(sha256.digest(key.getBytes(StandardCharsets.UTF_8)));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("SHA-256 is not available", e);
    }
  }
}
