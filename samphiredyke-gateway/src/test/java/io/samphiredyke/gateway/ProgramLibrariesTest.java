package io.samphiredyke.gateway;

import static org.assertj.core.api.Assertions.assertThatCode;

import io.samphiredyke.net.control.ControlEventLoop;
import java.io.IOException;
import java.io.InputStream;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The JAR file of the gateway leaves out some libraries on which its modules depend. */
class ProgramLibrariesTest {

  private static final List<String> LEFT_OUT =
      List.of("com.google.common.flogger.", "org.slf4j.", "net.sourceforge.argparse4j.");

  /** Loads the classes of this project itself, and none that the JAR file leaves out. */
  private static final class ProgramClassLoader extends ClassLoader {

    @Override
    protected Class<?> loadClass(String name, boolean resolve) throws ClassNotFoundException {
      if (LEFT_OUT.stream().anyMatch(name::startsWith)) {
        throw new ClassNotFoundException(name);
      }
      if (!name.startsWith("io.samphiredyke.")) {
        return super.loadClass(name, resolve);
      }
      Class<?> loaded = findLoadedClass(name);
      return loaded == null ? define(name) : loaded;
    }

    private Class<?> define(String name) throws ClassNotFoundException {
      try (InputStream in = getParent().getResourceAsStream(name.replace('.', '/') + ".class")) {
        byte[] bytes = in.readAllBytes();
        return defineClass(name, bytes, 0, bytes.length);
      } catch (IOException e) {
        throw new ClassNotFoundException(name, e);
      }
    }
  }

  @Test
  void controlLoopNeedsNoLibraryThatTheProgramLeavesOut() {
    ClassLoader loader = new ProgramClassLoader();
    for (Class<?> type : List.of(ControlEventLoop.class, Gateway.class, GatewayMain.class)) {
      assertThatCode(() -> Class.forName(type.getName(), true, loader)).doesNotThrowAnyException();
    }
  }
}
