package review3;

/** Starts daemon threads whose I/O errors end only themselves. */
final class Threads {

  /** An action that may fail. */
  interface Action {
    void run() throws Exception;
  }

  private Threads() {}

  static Thread start(String name, Action action) {
    Thread thread =
        new Thread(
            null,
            () -> {
              try {
                action.run();
              } catch (Exception e) {
                // The connection or the listener has ended.
              }
            },
            name,
            128 * 1024);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }
}
