package io.samphiredyke.schema.settings.loader;

import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.lang.reflect.Constructor;
import java.lang.reflect.RecordComponent;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Properties;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.ArgumentGroup;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import org.jspecify.annotations.Nullable;

/**
 * Loads the settings of a program from flags, environment variables and defaults, in this order of
 * precedence.
 *
 * @param <T> the generated record of the settings
 */
public final class SettingsLoader<T extends Record> {

  private static final int HELP_WIDTH_COLUMNS = 100;
  private static final String HELP = "--help";
  private static final String VERSION = "--version";
  private static final String COMMAND_LINE = "command line";

  private final Class<T> settingsClass;
  private final SettingsSchema schema;

  private SettingsLoader(Class<T> settingsClass) {
    this.settingsClass = settingsClass;
    this.schema = SettingsSchema.of(settingsClass);
  }

  /** Returns a loader of the settings. */
  public static <T extends Record> SettingsLoader<T> of(Class<T> settingsClass) {
    return new SettingsLoader<>(settingsClass);
  }

  /** Returns the version of the product. */
  public static String version() {
    Properties properties = new Properties();
    try (InputStream input = SettingsLoader.class.getResourceAsStream("version.properties")) {
      properties.load(Objects.requireNonNull(input, "version.properties"));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return properties.getProperty("version", "unknown");
  }

  /**
   * Returns a parser that knows all flags of the settings, {@code --help} and {@code --version}.
   */
  public ArgumentParser parser() {
    ArgumentParser parser =
        ArgumentParsers.newFor(schema.program())
            .addHelp(false)
            .terminalWidthDetection(false)
            .defaultFormatWidth(HELP_WIDTH_COLUMNS)
            .build()
            .description(schema.description())
            .version(schema.program() + " " + version());
    parser.addArgument("-h", HELP).action(Arguments.storeTrue()).help("Print this text and exit.");
    parser.addArgument(VERSION).action(Arguments.storeTrue()).help("Print the version and exit.");
    addArguments(parser);
    return parser;
  }

  /** Adds the flags of the settings to a parser, such as that of a program with subcommands. */
  public void addArguments(ArgumentParser parser) {
    Map<String, ArgumentGroup> groups = new LinkedHashMap<>();
    for (Setting setting : schema.settings()) {
      groups
          .computeIfAbsent(setting.group(), parser::addArgumentGroup)
          .addArgument(setting.flag())
          .dest(setting.name())
          .metavar(setting.valueSyntax())
          .action(setting.isList() ? Arguments.append() : Arguments.store())
          .help(helpText(setting));
    }
  }

  private static String helpText(Setting setting) {
    String text =
        setting.description().replace("`", "")
            + " Variable: "
            + setting.environmentVariable()
            + ".";
    if (setting.defaultText() != null) {
      return text + " Default: " + setting.defaultText() + ".";
    }
    return setting.required() ? text + " Required." : text;
  }

  /**
   * Loads the settings, or prints the help or the version.
   *
   * @return the settings, or nothing if help or version was asked for and printed
   * @throws SettingsException if anything is wrong; holds all findings
   */
  public Optional<T> load(String[] args, Map<String, String> environment, PrintStream out)
      throws SettingsException {
    ArgumentParser parser = parser();
    List<String> unknown = new ArrayList<>();
    Namespace namespace;
    try {
      namespace = parser.parseKnownArgs(args, unknown);
    } catch (ArgumentParserException e) {
      throw new SettingsException(malformed(e, environment));
    }
    if (Boolean.TRUE.equals(namespace.getBoolean("help"))) {
      out.print(parser.formatHelp());
      return Optional.empty();
    }
    if (Boolean.TRUE.equals(namespace.getBoolean("version"))) {
      out.println(parser.formatVersion());
      return Optional.empty();
    }
    return Optional.of(read(namespace, environment, unknownArguments(unknown)));
  }

  /**
   * Loads the settings from flags that were parsed already and the environment.
   *
   * @throws SettingsException if anything is wrong; holds all findings
   */
  public T load(Namespace namespace, Map<String, String> environment) throws SettingsException {
    return read(namespace, environment, List.of());
  }

  /**
   * Loads the settings of this process. Ends the process if help or version was asked for, or with
   * {@link ExitCode#BAD_SETTINGS} after all findings were printed.
   */
  public T loadOrExit(String[] args) {
    try {
      Optional<T> settings = load(args, System.getenv(), System.out);
      if (settings.isEmpty()) {
        System.exit(ExitCode.OK.code());
      }
      return settings.get();
    } catch (SettingsException e) {
      e.findings().forEach(finding -> System.err.println(schema.program() + ": " + finding));
      System.err.println("Try " + schema.program() + " " + HELP + ".");
      System.exit(ExitCode.BAD_SETTINGS.code());
      throw new IllegalStateException(e);
    }
  }

  private T read(
      Namespace namespace, Map<String, String> environment, List<SettingsFinding> unknown)
      throws SettingsException {
    SettingsReader reader = new SettingsReader(schema, flags(namespace), environment);
    List<SettingsFinding> findings = new ArrayList<>(unknown);
    findings.addAll(reader.read());
    if (!findings.isEmpty()) {
      throw new SettingsException(findings);
    }
    return construct(reader.values());
  }

  private Map<String, String> flags(Namespace namespace) {
    Map<String, String> flags = new HashMap<>();
    for (Setting setting : schema.settings()) {
      Object value = namespace.get(setting.name());
      if (value instanceof List<?> list) {
        flags.put(setting.name(), String.join(",", list.stream().map(Object::toString).toList()));
      } else if (value != null) {
        flags.put(setting.name(), value.toString());
      }
    }
    return flags;
  }

  /** A malformed command line hides which flags are given, so that none is reported as missing. */
  private List<SettingsFinding> malformed(
      ArgumentParserException cause, Map<String, String> environment) {
    List<SettingsFinding> findings = new ArrayList<>();
    findings.add(new SettingsFinding(COMMAND_LINE, Objects.toString(cause.getMessage())));
    new SettingsReader(schema, Map.of(), environment)
        .read().stream()
            .filter(finding -> environment.containsKey(finding.source()))
            .forEach(findings::add);
    return findings;
  }

  /** Names unknown flags without their values, which may be secrets. */
  private static List<SettingsFinding> unknownArguments(List<String> arguments) {
    List<SettingsFinding> findings = new ArrayList<>();
    boolean afterFlag = false;
    for (String argument : arguments) {
      boolean isFlag = argument.startsWith("-");
      if (isFlag) {
        String flag = argument.replaceFirst("=.*", "");
        findings.add(new SettingsFinding(flag, "there is no such flag"));
      } else if (!afterFlag) {
        findings.add(new SettingsFinding(COMMAND_LINE, "a value stands without a flag"));
      }
      afterFlag = isFlag && argument.indexOf('=') < 0;
    }
    return findings;
  }

  private T construct(Map<String, Object> values) {
    RecordComponent[] components = settingsClass.getRecordComponents();
    Class<?>[] types =
        Arrays.stream(components).map(RecordComponent::getType).toArray(Class<?>[]::new);
    Object[] arguments =
        Arrays.stream(components)
            .map(component -> argument(component, values.get(component.getName())))
            .toArray();
    try {
      Constructor<T> constructor = settingsClass.getDeclaredConstructor(types);
      return constructor.newInstance(arguments);
    } catch (ReflectiveOperationException e) {
      throw new IllegalStateException(settingsClass.getName() + " doesn't fit its schema", e);
    }
  }

  private static @Nullable Object argument(RecordComponent component, @Nullable Object value) {
    if (!component.getType().isEnum() || value == null) {
      return value;
    }
    String name = value.toString().toUpperCase(Locale.ROOT).replace('-', '_');
    return Arrays.stream(component.getType().getEnumConstants())
        .filter(constant -> constant.toString().equals(name))
        .findFirst()
        .orElseThrow();
  }
}
