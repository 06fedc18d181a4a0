package io.samphiredyke.bench.decisions;

import io.samphiredyke.standins.engine.Prompt;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.DoubleUnaryOperator;

/** Reproducible random stream of requests: the same seed yields the same requests. */
final class Workload {

  private static final double DOCUMENT_SIGMA = 0.6;
  private static final double ANSWER_SIGMA = 0.5;

  /** Length of the part at the end of each prompt that is never shared. */
  private static final int UNIQUE_SUFFIX_TOKENS = 40;

  private static final int MAX_RECENT_DOCUMENTS = 40;
  private static final double LARGEST_CUSTOMER_SHARE = 0.4;
  private static final int CUSTOMERS = 5;

  /** 2^64 divided by the golden ratio; spreads document ids over the block hashes. */
  private static final long HASH_MULTIPLIER = 0x9E3779B97F4A7C15L;

  private final WorkloadKind kind;
  private final Random random;
  private final List<List<Document>> recentDocuments = new ArrayList<>();
  private long nextDocument = 1;
  private long nextRequest;

  private record Document(long id, int tokens) {}

  Workload(WorkloadKind kind, long seed) {
    this.kind = kind;
    this.random = new Random(seed);
    for (int index = 0; index < kind.classes().size(); index++) {
      recentDocuments.add(new ArrayList<>());
    }
  }

  /**
   * Returns the arrivals of a run.
   *
   * @param requestsPerSecond mean arrival rate
   * @param seconds length of the run
   */
  List<Arrival> arrivals(double requestsPerSecond, double seconds) {
    return arrivals(requestsPerSecond, seconds, progress -> 1);
  }

  /**
   * Returns the arrivals of a run with a variable rate.
   *
   * @param requestsPerSecond mean arrival rate
   * @param seconds length of the run
   * @param rateFactor factor applied to the rate, as a function of the elapsed fraction of the run
   */
  List<Arrival> arrivals(double requestsPerSecond, double seconds, DoubleUnaryOperator rateFactor) {
    List<Arrival> arrivals = new ArrayList<>();
    double time = 0;
    while (true) {
      double rate = requestsPerSecond * rateFactor.applyAsDouble(time / seconds);
      time += -Math.log(1 - random.nextDouble()) / rate;
      if (time >= seconds) {
        return arrivals;
      }
      arrivals.add(next(SimulatedClock.seconds(time)));
    }
  }

  private Arrival next(long time) {
    int index = classIndex();
    RequestClass requestClass = kind.classes().get(index);
    boolean reused =
        !recentDocuments.get(index).isEmpty() && random.nextDouble() < requestClass.reuse();
    Document document = reused ? reusedDocument(index) : newDocument(index, requestClass);
    int freshTokens = UNIQUE_SUFFIX_TOKENS + (reused ? 0 : document.tokens);
    int outputTokens = (int) Math.round(requestClass.answerTokens() * logNormal(ANSWER_SIGMA));
    int boundedOutputTokens =
        Math.max(2, Math.min(requestClass.maximumAnswerTokens(), outputTokens));
    String id = "r" + nextRequest++;
    return new Arrival(
        id,
        time,
        requestClass,
        customer(),
        prompt(index, requestClass, document, id),
        freshTokens,
        boundedOutputTokens);
  }

  private Prompt prompt(int index, RequestClass requestClass, Document document, String id) {
    int blockTokens = EngineProfile.BLOCK_TOKENS;
    List<Long> blocks = new ArrayList<>();
    int systemBlocks = requestClass.systemTokens() / blockTokens;
    for (int block = 0; block < systemBlocks; block++) {
      blocks.add((index + 1) * 1_000_003L + block);
    }
    int documentBlocks = document.tokens / blockTokens;
    for (int block = 0; block < documentBlocks; block++) {
      blocks.add((document.id * HASH_MULTIPLIER) ^ (block * 31L + index));
    }
    return new Prompt(
        requestClass.systemTokens() + document.tokens + UNIQUE_SUFFIX_TOKENS, blocks, id);
  }

  private Document reusedDocument(int index) {
    List<Document> documents = recentDocuments.get(index);
    return documents.get(random.nextInt(documents.size()));
  }

  private Document newDocument(int index, RequestClass requestClass) {
    int tokens = (int) (requestClass.documentTokens() * logNormal(DOCUMENT_SIGMA));
    Document document = new Document(nextDocument++, Math.max(16, tokens));
    List<Document> documents = recentDocuments.get(index);
    documents.add(document);
    if (documents.size() > MAX_RECENT_DOCUMENTS) {
      documents.remove(0);
    }
    return document;
  }

  private String customer() {
    if (random.nextDouble() < LARGEST_CUSTOMER_SHARE) {
      return "customer-0";
    }
    return "customer-" + (1 + random.nextInt(CUSTOMERS - 1));
  }

  private int classIndex() {
    double remaining = random.nextDouble();
    List<RequestClass> classes = kind.classes();
    for (int index = 0; index < classes.size() - 1; index++) {
      remaining -= classes.get(index).share();
      if (remaining < 0) {
        return index;
      }
    }
    return classes.size() - 1;
  }

  private double logNormal(double sigma) {
    return Math.exp(sigma * random.nextGaussian());
  }
}
