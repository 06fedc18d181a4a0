package io.samphiredyke.gateway;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.internal.logging.InternalLoggerFactory;
import io.samphiredyke.gateway.log.DecisionLog;
import io.samphiredyke.platform.HostSettings;
import io.samphiredyke.platform.SettingsException;
import io.samphiredyke.platform.SettingsFile;
import java.io.FileDescriptor;
import java.io.FileInputStream;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.SplittableRandom;
import org.jspecify.annotations.Nullable;
import sun.misc.Signal;
import sun.misc.SignalHandler;

/** Starts the process, follows its signals and ends it. */
public final class GatewayMain {

  private static final String RANDOM_SOURCE = "/dev/urandom";
  private static final int BAD_SETTINGS = 2;
  private static final int START_FAILED = 1;
  private static final Signal HANG_UP = new Signal("HUP");

  private GatewayMain() {}

  /** Runs the process until it is told to stop. */
  public static void main(String[] arguments) {
    // Before anything else: a hang-up that nobody handles ends a virtual machine. What it would
    // have
    // told is found when SettingsReloader first looks at the file.
    Signal.handle(HANG_UP, SignalHandler.SIG_IGN);
    DecisionLog log =
        new DecisionLog(new FileOutputStream(FileDescriptor.out), System::currentTimeMillis);
    Path path = settingsPath(arguments);
    InternalLoggerFactory.setDefaultFactory(new NettyLoggerFactory(log));
    HostSettings settings = readSettings(path);
    if (settings == null) {
      System.exit(BAD_SETTINGS);
      return;
    }
    EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    // Two threads that read files and sockets at once have crashed the process at its start on the
    // platform; from here on only the loop's thread does.
    group.next().execute(() -> startOrEnd(settings, path, group, log));
  }

  private static void startOrEnd(
      HostSettings settings, Path path, EventLoopGroup group, DecisionLog log) {
    try {
      start(settings, path, group, log);
    } catch (RuntimeException e) {
      endAfter(e, log);
    }
  }

  private static void start(
      HostSettings settings, Path path, EventLoopGroup group, DecisionLog log) {
    Gateway gateway = new Gateway(settings, group, new SplittableRandom(seed()), log);
    GracefulShutdown shutdown = new GracefulShutdown(gateway, log);
    SettingsReloader reload = new SettingsReloader(path, settings, gateway, log);
    Signal.handle(HANG_UP, signal -> gateway.loop().execute(() -> reload.reload("signal")));
    Signal.handle(new Signal("TERM"), signal -> shutdown.begin());
    Signal.handle(new Signal("INT"), signal -> shutdown.begin());
    log.event(
        "start",
        "host",
        settings.hostName(),
        "address",
        settings.callerAddress(),
        "peer",
        settings.peerAddress());
    reload.start();
    gateway
        .start()
        .whenComplete(
            (done, failure) -> {
              if (failure != null) {
                endAfter(failure, log);
              }
            });
  }

  private static void endAfter(Throwable failure, DecisionLog log) {
    log.event("start_failed", "reason", String.valueOf(failure));
    log.close();
    Runtime.getRuntime().halt(START_FAILED);
  }

  /** Reads the system's random source directly; loading a security provider takes 20 ms. */
  private static long seed() {
    try (InputStream source = new FileInputStream(RANDOM_SOURCE)) {
      return ByteBuffer.wrap(source.readNBytes(Long.BYTES)).getLong();
    } catch (IOException | BufferUnderflowException e) {
      return System.nanoTime() ^ System.currentTimeMillis();
    }
  }

  private static Path settingsPath(String[] arguments) {
    if (arguments.length > 0) {
      return Path.of(arguments[0]);
    }
    String path = System.getenv(SettingsFile.PATH_VARIABLE);
    return Path.of(path == null ? "settings.conf" : path);
  }

  private static @Nullable HostSettings readSettings(Path path) {
    try {
      return SettingsFile.read(path);
    } catch (IOException | SettingsException e) {
      System.err.println("settings: " + e.getMessage());
      return null;
    }
  }
}
