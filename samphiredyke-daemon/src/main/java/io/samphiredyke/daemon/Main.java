package io.samphiredyke.daemon;

import io.samphiredyke.schema.settings.DaemonSettings;
import io.samphiredyke.schema.settings.loader.ExitCode;
import io.samphiredyke.schema.settings.loader.SettingsLoader;
import java.net.BindException;
import java.util.concurrent.CompletionException;

/** The entry point of the daemon, which is configured by flags and environment variables. */
public final class Main {

  private Main() {}

  /**
   * Runs the daemon until it has stopped. The first SIGTERM starts a graceful shutdown.
   *
   * @param args the flags
   */
  public static void main(String[] args) {
    DaemonSettings settings = SettingsLoader.of(DaemonSettings.class).loadOrExit(args);
    Daemon daemon = startOrExit(settings);
    Runtime.getRuntime().addShutdownHook(new Thread(() -> daemon.drain().join(), "drain"));
    daemon.stopped().join();
  }

  private static Daemon startOrExit(DaemonSettings settings) {
    try {
      return Daemon.start(settings).join();
    } catch (CompletionException e) {
      Throwable cause = e.getCause() == null ? e : e.getCause();
      System.err.println("samphiredyked: cannot start: " + cause.getMessage());
      ExitCode code =
          cause instanceof BindException ? ExitCode.CANNOT_BIND : ExitCode.INTERNAL_ERROR;
      System.exit(code.code());
      throw new IllegalStateException("unreachable", e);
    }
  }
}
