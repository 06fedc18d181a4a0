import java.nio.file.Path;

/** Runs one case: {@code Main CASE FOLDER}, in the root of the repository. */
public final class Main {

  private Main() {}

  /** Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. */
  public static void main(String[] arguments) {
    boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
    int code = 2;
    try {
      Path repository = Path.of("").toAbsolutePath();
      Path folder = Path.of(arguments[1]);
      code =
          switch (arguments[0]) {
            case "popular" -> Popular.run(repository, folder, hasTrouble);
            case "take-up" -> TakeUp.run(repository, folder, hasTrouble);
            case "handbook" -> Handbook.run(repository, folder, hasTrouble);
            case "replaced" -> Replaced.run(repository, folder, hasTrouble);
            default -> 2;
          };
    } catch (Exception e) {
      e.printStackTrace();
    }
    System.exit(code);
  }
}
