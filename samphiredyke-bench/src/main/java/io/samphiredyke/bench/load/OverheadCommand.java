package io.samphiredyke.bench.load;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.samphiredyke.client.ChatMessage;
import io.samphiredyke.client.ChatRequest;
import io.samphiredyke.client.ResponseListener;
import io.samphiredyke.client.SamphiredykeClient;
import io.samphiredyke.client.ServiceCall;
import io.samphiredyke.client.internal.HostPortParser;
import io.samphiredyke.net.codec.Json;
import io.samphiredyke.net.http.HttpClient;
import io.samphiredyke.net.http.HttpClientOptions;
import io.samphiredyke.net.http.HttpRequest;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.helper.HelpScreenException;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;

/**
 * Command {@code overhead}: measures the latency added by the system, as the difference between
 * calls through it and direct calls to an endpoint.
 *
 * <p>Direct and indirect calls alternate, one request at a time, over persistent connections.
 */
public final class OverheadCommand {

  private static final int THREADS = 2;
  private static final int WARM_UP_REQUESTS = 20;
  private static final int MAX_TOKENS = 4;
  private static final String PROMPT = "is the north face covered?";
  private static final byte[] BODY = "{\"number\":1}".getBytes(StandardCharsets.UTF_8);

  private final Namespace flags;
  private final HttpClient http;
  private final SamphiredykeClient client;
  private final Map<String, List<Long>> times = new LinkedHashMap<>();

  private OverheadCommand(Namespace flags, EventLoopGroup group) {
    this.flags = flags;
    this.http = new HttpClient(group, HttpClientOptions.defaults().withConnectionReuse());
    this.client =
        SamphiredykeClient.builder()
            .group(group)
            .customerKey(flags.getString("key"))
            .seeds(List.of(flags.getString("addresses").split(",")))
            .build();
  }

  /** Runs the command and returns the exit code. */
  public static int run(String[] args) {
    ArgumentParser parser = parser();
    EventLoopGroup group = new MultiThreadIoEventLoopGroup(THREADS, NioIoHandler.newFactory());
    try {
      Namespace flags = parser.parseArgs(args);
      new OverheadCommand(flags, group).execute();
      return LoadCommand.EXIT_CLEAN;
    } catch (HelpScreenException e) {
      return LoadCommand.EXIT_CLEAN;
    } catch (ArgumentParserException e) {
      parser.handleError(e);
      return LoadCommand.EXIT_USAGE;
    } catch (CompletionException e) {
      System.err.println("samphiredyke-bench overhead: a request failed: " + e.getCause());
      return LoadCommand.EXIT_VIOLATED;
    } finally {
      group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
  }

  private static ArgumentParser parser() {
    ArgumentParser parser =
        ArgumentParsers.newFor("samphiredyke-bench overhead")
            .build()
            .defaultHelp(true)
            .description(
                "Compares the latency of calls through the system with direct calls, at low load.");
    required(
        parser,
        "--addresses",
        "IP:PORT[,...]",
        "hosts from which the client obtains the address list");
    required(parser, "--key", "KEY", "API key of the customer");
    required(parser, "--service", "NAME", "service backed by a model");
    required(parser, "--model", "NAME", "model of the service");
    required(parser, "--engine", "IP:PORT", "engine that serves the model");
    required(parser, "--plain-service", "NAME", "plain service");
    required(parser, "--plain-endpoint", "IP:PORT", "endpoint that serves the plain service");
    parser
        .addArgument("--count")
        .type(Integer.class)
        .setDefault(200)
        .help("number of calls of each kind");
    return parser;
  }

  private static void required(ArgumentParser parser, String flag, String metavar, String help) {
    parser.addArgument(flag).metavar(metavar).required(true).help(help);
  }

  private void execute() {
    InetSocketAddress engine = HostPortParser.parse(flags.getString("engine"));
    InetSocketAddress endpoint = HostPortParser.parse(flags.getString("plain_endpoint"));
    int count = flags.getInt("count");
    for (int i = 0; i < WARM_UP_REQUESTS + count; i++) {
      boolean isMeasured = i >= WARM_UP_REQUESTS;
      measure("model, direct", isMeasured, () -> directChat(engine));
      measure("model, through", isMeasured, this::chat);
      measure("plain, direct", isMeasured, () -> directCall(endpoint));
      measure("plain, through", isMeasured, this::call);
    }
    print();
    client.close();
    http.close();
  }

  private void measure(String name, boolean isMeasured, Runnable request) {
    long start = System.nanoTime();
    request.run();
    long elapsed = System.nanoTime() - start;
    if (isMeasured) {
      times.computeIfAbsent(name, key -> new ArrayList<>()).add(elapsed);
    }
  }

  private void chat() {
    ChatRequest request =
        ChatRequest.builder(flags.getString("service"))
            .message(ChatMessage.user(PROMPT))
            .maxTokens(MAX_TOKENS)
            .build();
    client.chat(request, ResponseListener.NONE).join();
  }

  private void directChat(InetSocketAddress engine) {
    Map<String, Object> body =
        Map.of(
            "model",
            flags.getString("model"),
            "messages",
            List.of(ChatMessage.user(PROMPT)),
            "max_tokens",
            MAX_TOKENS,
            "stream",
            true);
    post(engine, "/v1/chat/completions", Json.bytes(body));
  }

  private void call() {
    client.call(ServiceCall.of(flags.getString("plain_service"), "call", BODY)).join();
  }

  private void directCall(InetSocketAddress endpoint) {
    post(endpoint, "/call", BODY);
  }

  private void post(InetSocketAddress address, String path, byte[] body) {
    String id = "direct-" + UUID.randomUUID();
    HttpRequest request =
        HttpRequest.post(address, path, body).header("idempotency-key", id).build();
    int status = http.send(request).join().status();
    if (status != 200) {
      throw new CompletionException(
          new IllegalStateException(address + " responded with status " + status));
    }
  }

  private void print() {
    System.out.printf(Locale.ROOT, "%-16s %9s %9s%n", "whole answer, ms", "median", "p95");
    times.forEach((name, nanos) -> print(name, LoadReport.Times.of(nanos)));
    printAdded("model");
    printAdded("plain");
  }

  private static void print(String name, LoadReport.Times measured) {
    System.out.printf(Locale.ROOT, "%-16s %9.2f %9.2f%n", name, measured.p50(), measured.p95());
  }

  private void printAdded(String kind) {
    LoadReport.Times direct = LoadReport.Times.of(times.getOrDefault(kind + ", direct", List.of()));
    LoadReport.Times through =
        LoadReport.Times.of(times.getOrDefault(kind + ", through", List.of()));
    print(
        kind + ", added",
        new LoadReport.Times(
            through.p50() - direct.p50(),
            through.p95() - direct.p95(),
            through.p99() - direct.p99()));
  }
}
