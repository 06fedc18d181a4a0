package io.samphiredyke.bench.decisions;

import io.samphiredyke.standins.engine.Prompt;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.DoubleUnaryOperator;

/** A stream of requests that is the same for the same seed. */
final class Workload {

  private static final double DOCUMENT_SIGMA = 0.6;
  private static final double ANSWER_SIGMA = 0.5;
  private static final int TAIL_TOKENS = 40;
  private static final int RECENT_DOCUMENTS = 40;
  private static final double BIG_CUSTOMER_SHARE = 0.4;
  private static final int CUSTOMERS = 5;
  private static final long MIX = 0x9E3779B97F4A7C15L;

  private final WorkloadKind kind;
  private final Random random;
  private final List<List<Document>> recent = new ArrayList<>();
  private long nextDocument = 1;
  private long nextRequest;

  private record Document(long id, int tokens) {}

  Workload(WorkloadKind kind, long seed) {
    this.kind = kind;
    this.random = new Random(seed);
    for (int index = 0; index < kind.classes().size(); index++) {
      recent.add(new ArrayList<>());
    }
  }

  /**
   * Returns the arrivals of a run.
   *
   * @param requestsPerSecond mean rate
   * @param seconds length of the run
   */
  List<Arrival> arrivals(double requestsPerSecond, double seconds) {
    return arrivals(requestsPerSecond, seconds, progress -> 1);
  }

  /**
   * Returns the arrivals of a run with a changing rate.
   *
   * @param requestsPerSecond mean rate
   * @param seconds length of the run
   * @param rateFactor factor of the rate by the part of the run that is over
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
      arrivals.add(next(ModelClock.seconds(time)));
    }
  }

  private Arrival next(long time) {
    int index = classIndex();
    RequestClass type = kind.classes().get(index);
    boolean reused = !recent.get(index).isEmpty() && random.nextDouble() < type.reuse();
    Document document = reused ? known(index) : created(index, type);
    int fresh = TAIL_TOKENS + (reused ? 0 : document.tokens);
    int answer = (int) Math.round(type.answerTokens() * logNormal(ANSWER_SIGMA));
    int bounded = Math.max(2, Math.min(type.maximumAnswerTokens(), answer));
    String id = "r" + nextRequest++;
    return new Arrival(
        id, time, type, customer(), prompt(index, type, document, id), fresh, bounded);
  }

  private Prompt prompt(int index, RequestClass type, Document document, String id) {
    int blockTokens = EngineProfile.BLOCK_TOKENS;
    List<Long> blocks = new ArrayList<>();
    int systemBlocks = type.systemTokens() / blockTokens;
    for (int block = 0; block < systemBlocks; block++) {
      blocks.add((index + 1) * 1_000_003L + block);
    }
    int documentBlocks = document.tokens / blockTokens;
    for (int block = 0; block < documentBlocks; block++) {
      blocks.add((document.id * MIX) ^ (block * 31L + index));
    }
    return new Prompt(type.systemTokens() + document.tokens + TAIL_TOKENS, blocks, id);
  }

  private Document known(int index) {
    List<Document> documents = recent.get(index);
    return documents.get(random.nextInt(documents.size()));
  }

  private Document created(int index, RequestClass type) {
    int tokens = (int) (type.documentTokens() * logNormal(DOCUMENT_SIGMA));
    Document document = new Document(nextDocument++, Math.max(16, tokens));
    List<Document> documents = recent.get(index);
    documents.add(document);
    if (documents.size() > RECENT_DOCUMENTS) {
      documents.remove(0);
    }
    return document;
  }

  private String customer() {
    if (random.nextDouble() < BIG_CUSTOMER_SHARE) {
      return "customer-0";
    }
    return "customer-" + (1 + random.nextInt(CUSTOMERS - 1));
  }

  private int classIndex() {
    double drawn = random.nextDouble();
    List<RequestClass> classes = kind.classes();
    for (int index = 0; index < classes.size() - 1; index++) {
      drawn -= classes.get(index).share();
      if (drawn < 0) {
        return index;
      }
    }
    return classes.size() - 1;
  }

  private double logNormal(double sigma) {
    return Math.exp(sigma * random.nextGaussian());
  }
}
