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

/** Entry point of the gateway: starts the process and handles its signals. */
public final class GatewayMain {

  private static final String RANDOM_DEVICE = "/dev/urandom";
  private static final int EXIT_INVALID_SETTINGS = 2;
  private static final int EXIT_START_FAILED = 1;
  private static final Signal SIGHUP = new Signal("HUP");

  private GatewayMain() {}

  /** Runs the process until it receives a stop signal. */
  public static void main(String[] arguments) {
    // This must come first: an unhandled SIGHUP terminates the JVM. A change of the settings that
    // it announces is found by the first check of SettingsReloader.
    Signal.handle(SIGHUP, SignalHandler.SIG_IGN);
    DecisionLog log =
        new DecisionLog(new FileOutputStream(FileDescriptor.out), System::currentTimeMillis);
    Path path = settingsPath(arguments);
    InternalLoggerFactory.setDefaultFactory(new NettyLoggerFactory(log));
    HostSettings settings = readSettings(path);
    if (settings == null) {
      System.exit(EXIT_INVALID_SETTINGS);
      return;
    }
    UnexpectedEnd.register(log);
    EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    // From here on, only the event loop's thread reads files and sockets. Two threads that did so
    // at the same time have crashed the process during its start on the platform.
    group.next().execute(() -> startOrTerminate(settings, path, group, log));
  }

  private static void startOrTerminate(
      HostSettings settings, Path path, EventLoopGroup group, DecisionLog log) {
    try {
      start(settings, path, group, log);
    } catch (RuntimeException e) {
      terminate(e, log);
    }
  }

  private static void start(
      HostSettings settings, Path path, EventLoopGroup group, DecisionLog log) {
    Gateway gateway = new Gateway(settings, group, new SplittableRandom(seed()), log);
    GracefulShutdown shutdown =
        new GracefulShutdown(gateway, log, () -> Runtime.getRuntime().halt(0));
    SettingsReloader reloader = new SettingsReloader(path, settings, gateway, log);
    Signal.handle(SIGHUP, signal -> gateway.loop().execute(() -> reloader.reload("signal")));
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
    reloader.start();
    gateway
        .start()
        .whenComplete(
            (result, failure) -> {
              if (failure != null) {
                terminate(failure, log);
              }
            });
  }

  private static void terminate(Throwable failure, DecisionLog log) {
    log.event("start_failed", "reason", String.valueOf(failure));
    log.close();
    Runtime.getRuntime().halt(EXIT_START_FAILED);
  }

  /** Reads the random device directly, because loading a security provider takes 20 ms. */
  private static long seed() {
    try (InputStream source = new FileInputStream(RANDOM_DEVICE)) {
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
      System.err.println("failed to read the settings: " + e.getMessage());
      return null;
    }
  }
}
