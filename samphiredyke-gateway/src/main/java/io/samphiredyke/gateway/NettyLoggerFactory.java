package io.samphiredyke.gateway;

import io.netty.util.internal.logging.AbstractInternalLogger;
import io.netty.util.internal.logging.InternalLogger;
import io.netty.util.internal.logging.InternalLoggerFactory;
import io.samphiredyke.gateway.log.DecisionLog;
import org.jspecify.annotations.Nullable;

/** Brings warnings and errors of Netty into the process's own log; the rest is dropped. */
final class NettyLoggerFactory extends InternalLoggerFactory {

  private final DecisionLog log;

  NettyLoggerFactory(DecisionLog log) {
    this.log = log;
  }

  @Override
  protected InternalLogger newInstance(String name) {
    return new Logger(name, log);
  }

  private static final class Logger extends AbstractInternalLogger {

    private static final long serialVersionUID = 1L;

    private final transient DecisionLog log;

    Logger(String name, DecisionLog log) {
      super(name);
      this.log = log;
    }

    private void write(String level, @Nullable String message, @Nullable Throwable cause) {
      log.event("netty", "level", level, "logger", name(), "message", message, "cause", cause);
    }

    @Override
    public boolean isTraceEnabled() {
      return false;
    }

    @Override
    public void trace(String message) {}

    @Override
    public void trace(String format, Object argument) {}

    @Override
    public void trace(String format, Object first, Object second) {}

    @Override
    public void trace(String format, Object... arguments) {}

    @Override
    public void trace(String message, Throwable cause) {}

    @Override
    public boolean isDebugEnabled() {
      return false;
    }

    @Override
    public void debug(String message) {}

    @Override
    public void debug(String format, Object argument) {}

    @Override
    public void debug(String format, Object first, Object second) {}

    @Override
    public void debug(String format, Object... arguments) {}

    @Override
    public void debug(String message, Throwable cause) {}

    @Override
    public boolean isInfoEnabled() {
      return false;
    }

    @Override
    public void info(String message) {}

    @Override
    public void info(String format, Object argument) {}

    @Override
    public void info(String format, Object first, Object second) {}

    @Override
    public void info(String format, Object... arguments) {}

    @Override
    public void info(String message, Throwable cause) {}

    @Override
    public boolean isWarnEnabled() {
      return true;
    }

    @Override
    public void warn(String message) {
      write("warn", message, null);
    }

    @Override
    public void warn(String format, Object argument) {
      write("warn", format + " " + argument, null);
    }

    @Override
    public void warn(String format, Object first, Object second) {
      write("warn", format + " " + first + " " + second, null);
    }

    @Override
    public void warn(String format, Object... arguments) {
      write("warn", format + " " + java.util.Arrays.toString(arguments), null);
    }

    @Override
    public void warn(String message, Throwable cause) {
      write("warn", message, cause);
    }

    @Override
    public boolean isErrorEnabled() {
      return true;
    }

    @Override
    public void error(String message) {
      write("error", message, null);
    }

    @Override
    public void error(String format, Object argument) {
      write("error", format + " " + argument, null);
    }

    @Override
    public void error(String format, Object first, Object second) {
      write("error", format + " " + first + " " + second, null);
    }

    @Override
    public void error(String format, Object... arguments) {
      write("error", format + " " + java.util.Arrays.toString(arguments), null);
    }

    @Override
    public void error(String message, Throwable cause) {
      write("error", message, cause);
    }
  }
}
