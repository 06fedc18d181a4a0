package io.samphiredyke.schema.settings.loader;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import io.samphiredyke.schema.settings.CtlSettings;
import io.samphiredyke.schema.settings.DaemonSettings;
import io.samphiredyke.schema.settings.type.NamedKey;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Tests the precedence, the defaults and the findings of settings. */
class SettingsLoaderTest {

  private static final String HEX = "00112233445566778899aabbccddeeff";
  private static final Map<String, String> ENVIRONMENT =
      Map.of(
          "SAMPHIREDYKED_DATA_CENTRE", "oslo-1",
          "SAMPHIREDYKED_PEER_ADDRESS", "127.0.0.1:0",
          "SAMPHIREDYKED_PEER_KEYS", "a:" + HEX + ",b:" + HEX + "00",
          "SAMPHIREDYKED_TICKET_KEYS", "t:" + HEX,
          "SAMPHIREDYKED_HOST_LIST_URL", "http://127.0.0.1:7701",
          "SAMPHIREDYKED_PING_INTERVAL", "100ms",
          "SAMPHIREDYKED_DRAIN_TIMEOUT", "");
  private static final String[] FLAGS = {
    "--name",
    "host-1",
    "--address",
    "[::1]:7800",
    "--log-url",
    "10.0.0.1:1,10.0.0.2:1",
    "--log-url",
    "10.0.0.3:1",
    "--ping-interval",
    "200ms"
  };

  private final ByteArrayOutputStream output = new ByteArrayOutputStream();

  @Test
  void flagsOverrideVariablesAndVariablesOverrideDefaults() throws SettingsException {
    DaemonSettings settings = load(FLAGS, ENVIRONMENT);
    assertThat(settings.name()).isEqualTo("host-1");
    assertThat(settings.dataCentre()).isEqualTo("oslo-1");
    assertThat(settings.pingInterval()).isEqualTo(Duration.ofMillis(200));
    assertThat(settings.drainTimeout()).isEqualTo(Duration.ofMinutes(10));
    assertThat(settings.bodyLimit()).isEqualTo(8 << 20);
    assertThat(settings.peers()).isEmpty();
    assertThat(settings.callerTlsKey()).isNull();
    assertThat(settings.logAddresses())
        .containsExactly(
            new InetSocketAddress("10.0.0.1", 1),
            new InetSocketAddress("10.0.0.2", 1),
            new InetSocketAddress("10.0.0.3", 1));
    assertThat(settings.peerKeys()).extracting(NamedKey::id).containsExactly("a", "b");
  }

  @Test
  void builderHasTheDefaultsOfTheSchema() throws SettingsException {
    DaemonSettings loaded = load(FLAGS, ENVIRONMENT);
    DaemonSettings built =
        DaemonSettings.builder()
            .name("host-1")
            .dataCentre("oslo-1")
            .address(loaded.address())
            .peerAddress(loaded.peerAddress())
            .logAddresses(loaded.logAddresses())
            .hostListAddresses(loaded.hostListAddresses())
            .peerKeys(loaded.peerKeys())
            .ticketKeys(loaded.ticketKeys())
            .pingInterval(loaded.pingInterval())
            .build();
    assertThat(built).isEqualTo(loaded);
  }

  @Test
  void reportsAllFindingsWithTheirSources() {
    Map<String, String> environment = new HashMap<>(ENVIRONMENT);
    environment.put("SAMPHIREDYKED_TRAFFIC_THREADS", "0");
    environment.put("SAMPHIREDYKED_PING_TIMEOUT", "100ms");
    environment.put("SAMPHIREDYKED_PEER", "10.0.0.1:1");
    environment.remove("SAMPHIREDYKED_PEER_ADDRESS");
    List<String> flags = new ArrayList<>(List.of(FLAGS));
    flags.addAll(List.of("--name", "Host 1", "--log-url", "log.example:1"));
    flags.addAll(List.of("--caller-tls-key", "/no/such/file", "--colour", "red"));
    assertThat(findings(flags, environment))
        .containsExactly(
            "--colour: unknown flag",
            "--name: expected 1 to 63 lower-case letters, digits, dots and hyphens, not 'Host 1'",
            "--peer-address: is required; alternatively, set SAMPHIREDYKED_PEER_ADDRESS",
            "--log-url: expected an IP address and a port, such as 10.0.0.1:7800 or [::1]:7800,"
                + " not 'log.example:1'",
            "SAMPHIREDYKED_TRAFFIC_THREADS: 0 is not in the range 1 to 256",
            "--caller-tls-key: no readable file '/no/such/file'",
            "--caller-tls-key: requires --caller-tls-certificate to be set",
            "--ping-interval: must be less than --ping-timeout",
            "SAMPHIREDYKED_PEER: unknown setting");
  }

  @Test
  void reportsMalformedCommandLineWithInvalidVariables() {
    Map<String, String> environment = Map.of("SAMPHIREDYKED_BODY_LIMIT", "8MB");
    assertThat(findings(List.of("--name"), environment))
        .containsExactly(
            "command line: argument --name: expected one argument",
            "SAMPHIREDYKED_BODY_LIMIT: expected an integer with the unit B, KiB, MiB or GiB,"
                + " such as 8MiB, not '8MB'");
  }

  @Test
  void neverPrintsSecrets() throws SettingsException {
    String secret = "5ec2e75ec2e75ec2e75ec2e75ec2e75x";
    List<String> flags = new ArrayList<>(List.of(FLAGS));
    flags.addAll(List.of("--peer-keys", "a:" + secret, "--ticket-keys", secret));
    flags.addAll(List.of("--peer-key=" + secret, "--tickets=" + secret, secret));
    assertThat(findings(flags, ENVIRONMENT)).hasSize(4).noneMatch(f -> f.contains("5ec"));
    assertThat(findings(List.of("--ticket=" + secret), ENVIRONMENT))
        .singleElement()
        .asString()
        .contains("ambiguous")
        .doesNotContain("5ec");
    assertThat(load(FLAGS, ENVIRONMENT).toString())
        .contains("peerKeys=[a:***, b:***]")
        .doesNotContain("001122", "[0, 17");
  }

  @Test
  void printsHelpAndVersion() throws SettingsException {
    assertThat(tryLoad("--help")).isFalse();
    assertThat(output.toString(StandardCharsets.UTF_8))
        .contains("--peer-address IP:PORT", "SAMPHIREDYKED_PEER_ADDRESS", "Default: 10m");
    output.reset();
    assertThat(tryLoad("--version")).isFalse();
    assertThat(output.toString(StandardCharsets.UTF_8)).matches("samphiredyked \\d\\S+\n");
  }

  @Test
  void loadsFlagsOfParserWithSubcommands() throws Exception {
    SettingsLoader<CtlSettings> loader = SettingsLoader.of(CtlSettings.class);
    var parser = loader.parser();
    parser.addSubparsers().dest("command").addParser("check");
    var namespace = parser.parseArgs(new String[] {"--output", "json", "check"});
    CtlSettings settings = loader.load(namespace, Map.of());
    assertThat(settings.output()).isEqualTo(CtlSettings.Output.JSON);
    assertThat(settings.timeout()).isEqualTo(Duration.ofSeconds(15));
  }

  private boolean tryLoad(String flag) throws SettingsException {
    PrintStream out = new PrintStream(output, true, StandardCharsets.UTF_8);
    return SettingsLoader.of(DaemonSettings.class)
        .load(new String[] {flag}, Map.of(), out)
        .isPresent();
  }

  private static DaemonSettings load(String[] flags, Map<String, String> environment)
      throws SettingsException {
    return SettingsLoader.of(DaemonSettings.class)
        .load(flags, environment, System.out)
        .orElseThrow();
  }

  private static List<String> findings(List<String> flags, Map<String, String> environment) {
    SettingsException exception =
        catchThrowableOfType(
            SettingsException.class, () -> load(flags.toArray(String[]::new), environment));
    return exception.findings().stream().map(SettingsFinding::toString).toList();
  }
}
