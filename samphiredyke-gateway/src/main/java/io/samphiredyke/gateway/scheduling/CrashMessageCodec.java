package io.samphiredyke.gateway.scheduling;

import io.samphiredyke.core.quarantine.RequestFingerprint;
import java.io.IOException;
import org.jspecify.annotations.Nullable;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Encodes the messages about requests that crash endpoints. */
final class CrashMessageCodec {

  private static final int ENDPOINT_CRASHED = 14;
  private static final int ENDPOINT_RESPONDED = 15;
  private static final int REQUEST_SERVED = 16;
  private static final int REQUEST_QUARANTINED = 17;
  private static final int QUARANTINE_DIGEST = 18;
  private static final int REQUEST_RELEASED = 25;

  private CrashMessageCodec() {}

  /** Writes a message with its type; returns whether it is one of these. */
  static boolean write(MessagePacker packer, SchedulingMessage message) throws IOException {
    if (message instanceof SchedulingMessage.EndpointCrashed crash) {
      packer.packInt(ENDPOINT_CRASHED).packString(crash.instance());
      writeFingerprint(packer, crash.request());
    } else if (message instanceof SchedulingMessage.EndpointResponded responded) {
      packer.packInt(ENDPOINT_RESPONDED).packString(responded.instance());
    } else if (message instanceof SchedulingMessage.RequestServed served) {
      writeFingerprint(packer.packInt(REQUEST_SERVED), served.request());
    } else if (message instanceof SchedulingMessage.RequestQuarantined quarantined) {
      writeFingerprint(packer.packInt(REQUEST_QUARANTINED), quarantined.request());
      packer.packInt(quarantined.generation()).packInt(quarantined.strikes());
      packer.packLong(quarantined.trialInMillis());
    } else if (message instanceof SchedulingMessage.RequestReleased released) {
      writeFingerprint(packer.packInt(REQUEST_RELEASED), released.request());
      packer.packInt(released.generation());
    } else if (message instanceof SchedulingMessage.QuarantineDigest digest) {
      packer.packInt(QUARANTINE_DIGEST).packLong(digest.digest());
      packer.packBoolean(digest.isResponse());
    } else {
      return false;
    }
    return true;
  }

  /** Reads a message after its type. */
  static SchedulingMessage read(int type, MessageUnpacker in) throws IOException {
    return switch (type) {
      case ENDPOINT_CRASHED ->
          new SchedulingMessage.EndpointCrashed(in.unpackString(), readFingerprint(in));
      case ENDPOINT_RESPONDED -> new SchedulingMessage.EndpointResponded(in.unpackString());
      case REQUEST_SERVED -> new SchedulingMessage.RequestServed(readFingerprint(in));
      case REQUEST_QUARANTINED -> readQuarantined(in);
      case REQUEST_RELEASED ->
          new SchedulingMessage.RequestReleased(readFingerprint(in), in.unpackInt());
      case QUARANTINE_DIGEST ->
          new SchedulingMessage.QuarantineDigest(in.unpackLong(), in.unpackBoolean());
      default -> throw new IOException("unknown scheduling message type " + type);
    };
  }

  private static SchedulingMessage readQuarantined(MessageUnpacker in) throws IOException {
    RequestFingerprint request = readFingerprint(in);
    // Earlier builds state the request only.
    return in.hasNext()
        ? new SchedulingMessage.RequestQuarantined(
            request, in.unpackInt(), in.unpackInt(), in.unpackLong())
        : new SchedulingMessage.RequestQuarantined(request, 1, 1, 0);
  }

  static void writeFingerprint(MessagePacker packer, @Nullable RequestFingerprint request)
      throws IOException {
    if (request == null) {
      packer.packNil();
    } else {
      packer.packString(request.caller()).packLong(request.content());
    }
  }

  private static RequestFingerprint readFingerprint(MessageUnpacker in) throws IOException {
    return new RequestFingerprint(in.unpackString(), in.unpackLong());
  }

  static @Nullable RequestFingerprint readOptionalFingerprint(MessageUnpacker in)
      throws IOException {
    return in.tryUnpackNil() ? null : readFingerprint(in);
  }
}
