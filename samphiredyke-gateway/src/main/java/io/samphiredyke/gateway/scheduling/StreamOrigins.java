package io.samphiredyke.gateway.scheduling;

import io.samphiredyke.core.membership.MemberChange;
import io.samphiredyke.core.membership.MemberState;
import io.samphiredyke.core.serving.EndpointRecord;
import io.samphiredyke.core.serving.StreamOrigin;
import io.samphiredyke.core.serving.VersionHistory;
import io.samphiredyke.net.control.ControlEventLoop;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Function;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;

/**
 * Knows at which software version streams began, so that any host can continue them.
 *
 * <p>Each host keeps the streams that it began. It also sends them to a few hosts that are chosen
 * by a hash of the stream's id, before the caller receives the first event, so that the loss of the
 * host does not lose the versions. This is not put off until a service has several versions, as the
 * host may be lost by then. Hosts that start are sent the streams that they keep from then on, so
 * that hosts can be replaced one after the other. A host that continues a stream asks the hosts
 * that the hash selects now. The archive gets the streams only while a service may have several
 * versions, as its writes are limited.
 */
public final class StreamOrigins {

  /** Hosts that send a stream to one that starts. */
  private static final int SENDERS = 2;

  private static final Duration RESEND_INTERVAL = Duration.ofMillis(40);

  /** Time after which a stream is unknown if not all hosts have responded. */
  private static final Duration QUERY_TIMEOUT = Duration.ofMillis(150);

  /** Time by which the clocks of endpoints and hosts may differ. */
  private static final Duration CLOCK_SLACK = Duration.ofSeconds(5);

  /** Longest id that is looked up; those of callers are shorter. */
  private static final int MAX_ID_CHARS = 128;

  /** Bound of the streams that are kept, a few megabytes; the oldest are dropped. */
  private static final int MAX_STREAMS = 32_768;

  /** Streams that are sent at once to a host that starts, so that its buffer holds all hosts'. */
  private static final int BATCH = 32;

  private static final Duration BATCH_INTERVAL = Duration.ofMillis(10);

  private static final long SPREAD_MILLIS_PER_HOST = 10;
  private static final long MAX_SPREAD_MILLIS = 1_000;

  /** Keeps the origins of streams beyond the life of the hosts. */
  public interface Archive {

    /** Receives the origin of a stream. */
    @FunctionalInterface
    interface Listener {

      /** Called with the origin, or null if the archive does not know the stream. */
      void found(@Nullable StreamOrigin origin);
    }

    /** Adds a stream. */
    void add(String requestId, StreamOrigin origin);

    /** Looks up a stream; the listener is called during this call or later. */
    void find(String requestId, Listener listener);
  }

  private static final Archive NO_ARCHIVE =
      new Archive() {
        @Override
        public void add(String requestId, StreamOrigin origin) {}

        @Override
        public void find(String requestId, Listener listener) {
          listener.found(null);
        }
      };

  private record Stream(StreamOrigin origin, long beganAt, boolean isOwn) {}

  /** Receives the result of a lookup. */
  @FunctionalInterface
  public interface LookupListener {

    /**
     * Called once.
     *
     * @param origin the origin, or null if no host that responded knows it
     * @param isComplete whether all hosts that may know it have responded
     */
    void found(@Nullable StreamOrigin origin, boolean isComplete);
  }

  /** A lookup that waits for the responses of other hosts. */
  private static final class Query {
    final List<LookupListener> listeners = new ArrayList<>();
    final Set<String> unanswered = new HashSet<>();
  }

  private final ControlEventLoop loop;
  private final String self;
  private final Supplier<List<String>> otherHosts;
  private final BiConsumer<String, SchedulingMessage> transport;
  private final VersionHistory history;
  private Archive archive = NO_ARCHIVE;
  private final Set<String> mixedServices = new HashSet<>();
  private final Map<String, Query> queries = new HashMap<>();
  private final Map<String, Stream> streams =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Stream> eldest) {
          return size() > MAX_STREAMS;
        }
      };
  private long horizonNanos = TimeUnit.SECONDS.toNanos(30);

  /**
   * Creates an instance that knows no stream.
   *
   * @param self peer address of this host
   * @param otherHosts returns the peer addresses of the live hosts other than this one
   * @param transport sends a message to a peer address
   */
  StreamOrigins(
      ControlEventLoop loop,
      String self,
      Supplier<List<String>> otherHosts,
      BiConsumer<String, SchedulingMessage> transport) {
    this.loop = loop;
    this.self = self;
    this.otherHosts = otherHosts;
    this.transport = transport;
    this.history = new VersionHistory(loop.nanoTime());
  }

  /** Sets the archive of the streams that begin while a service may have several versions. */
  public void setArchive(Archive value) {
    archive = value;
  }

  /** Records the present endpoints. */
  public void observe(List<EndpointRecord> endpoints) {
    long now = loop.nanoTime();
    history.observe(endpoints, horizonNanos, now);
    streams.values().removeIf(stream -> now - stream.beganAt() > horizonNanos);
    for (EndpointRecord endpoint : endpoints) {
      String service = endpoint.service();
      if (!history.isMixed(service)) {
        mixedServices.remove(service);
      } else if (mixedServices.add(service)) {
        archiveOwnStreams(service);
      }
    }
  }

  /** Sets how long a stream lasts at most, so how long its caller may want it to be continued. */
  public void setLongestStream(Duration duration) {
    horizonNanos = duration.plus(CLOCK_SLACK).toNanos();
  }

  private void archiveOwnStreams(String service) {
    streams.forEach(
        (id, stream) -> {
          if (stream.isOwn() && stream.origin().service().equals(service)) {
            archive.add(id, stream.origin());
          }
        });
  }

  /** Records that a stream of this host began; called before the caller gets its first event. */
  public void began(String requestId, StreamOrigin origin) {
    if (requestId.isEmpty() || requestId.length() > MAX_ID_CHARS) {
      return;
    }
    streams.put(requestId, new Stream(origin, loop.nanoTime(), true));
    history.observe(origin, loop.nanoTime());
    SchedulingMessage message = new SchedulingMessage.StreamBegan(requestId, origin);
    StreamKeepers.keepers(requestId, otherHosts.get())
        .forEach(host -> transport.accept(host, message));
    if (!history.isCertain(origin.service(), horizonNanos, loop.nanoTime())) {
      archive.add(requestId, origin);
    }
  }

  /**
   * Passes streams on when a host has started or is gone, so that the first hosts in the ranking of
   * each stream keep it although all hosts are replaced one after the other.
   */
  void memberChanged(MemberChange change) {
    String host = change.member().address();
    MemberState old = change.old();
    boolean wasLive = old != null && old.isLive();
    if (host.equals(self) || wasLive == change.current().isLive()) {
      return;
    }
    List<String> others = new ArrayList<>(otherHosts.get());
    others.remove(host);
    boolean allKeepIt = others.size() < StreamKeepers.ASKED_HOSTS;
    if (!wasLive) {
      passOn(others, id -> allKeepIt || isKeeper(host, id, others) ? List.of(host) : List.of());
    } else if (!allKeepIt) {
      passOn(others, id -> isKeeper(host, id, others) ? keepers(id, others) : List.of());
    }
  }

  private static boolean isKeeper(String host, String requestId, List<String> others) {
    return StreamKeepers.isAmongFirst(host, requestId, others, StreamKeepers.KEEPERS);
  }

  private static List<String> keepers(String requestId, List<String> others) {
    return StreamKeepers.first(requestId, others, StreamKeepers.KEEPERS);
  }

  /** Sends the streams of which this host is among the first, as those that precede may be new. */
  private void passOn(List<String> others, Function<String, List<String>> receivers) {
    Map<String, List<SchedulingMessage>> messages = new HashMap<>();
    streams.forEach(
        (id, stream) -> {
          if (StreamKeepers.isAmongFirst(self, id, others, SENDERS)) {
            SchedulingMessage message = new SchedulingMessage.StreamBegan(id, stream.origin());
            for (String host : receivers.apply(id)) {
              messages.computeIfAbsent(host, unknown -> new ArrayList<>()).add(message);
            }
          }
        });
    messages.forEach((host, all) -> sendLater(host, all.iterator(), others.size()));
  }

  /** Waits for a time that differs by sender, so that a host does not get all at once. */
  private void sendLater(String host, Iterator<SchedulingMessage> messages, int senders) {
    long spreadMillis = Math.min(MAX_SPREAD_MILLIS, senders * SPREAD_MILLIS_PER_HOST);
    long delayMillis = Math.floorMod(StreamKeepers.weight(self, host), spreadMillis + 1);
    loop.schedule(() -> sendInBatches(host, messages), Duration.ofMillis(delayMillis));
  }

  private void sendInBatches(String host, Iterator<SchedulingMessage> messages) {
    for (int i = 0; i < BATCH && messages.hasNext(); i++) {
      transport.accept(host, messages.next());
    }
    if (messages.hasNext()) {
      loop.schedule(() -> sendInBatches(host, messages), BATCH_INTERVAL);
    }
  }

  /**
   * Looks up where a stream began.
   *
   * @param listener is called during this call or later
   */
  public void find(String requestId, LookupListener listener) {
    Stream known = streams.get(requestId);
    if (known != null || requestId.isEmpty() || requestId.length() > MAX_ID_CHARS) {
      listener.found(known == null ? null : known.origin(), known != null);
      return;
    }
    Query pending = queries.get(requestId);
    if (pending != null) {
      pending.listeners.add(listener);
      return;
    }
    Query query = new Query();
    query.unanswered.addAll(
        StreamKeepers.first(requestId, otherHosts.get(), StreamKeepers.ASKED_HOSTS));
    if (query.unanswered.isEmpty()) {
      listener.found(null, false);
      return;
    }
    query.listeners.add(listener);
    queries.put(requestId, query);
    ask(requestId, query);
    loop.schedule(() -> ask(requestId, query), RESEND_INTERVAL);
    loop.schedule(() -> timedOut(requestId, query), QUERY_TIMEOUT);
  }

  private void ask(String requestId, Query query) {
    if (queries.get(requestId) == query) {
      SchedulingMessage message = new SchedulingMessage.StreamOriginQuery(requestId);
      query.unanswered.forEach(host -> transport.accept(host, message));
    }
  }

  private void timedOut(String requestId, Query query) {
    if (queries.remove(requestId, query)) {
      query.listeners.forEach(listener -> listener.found(null, false));
    }
  }

  /**
   * Looks up a stream of a service in the archive, if the service may have had several versions.
   *
   * @param listener is called during this call or later
   */
  public void findArchived(String requestId, String service, Archive.Listener listener) {
    boolean isIdValid = !requestId.isEmpty() && requestId.length() <= MAX_ID_CHARS;
    if (isIdValid && !history.isCertain(service, horizonNanos, loop.nanoTime())) {
      archive.find(requestId, listener);
    } else {
      listener.found(null);
    }
  }

  /**
   * Returns the origin that a stream of a service must have although no host knows the stream, or
   * null if that is not certain.
   *
   * @param endpoints present endpoints of the service
   */
  public @Nullable StreamOrigin onlyOrigin(String service, List<EndpointRecord> endpoints) {
    long now = loop.nanoTime();
    history.observe(endpoints, horizonNanos, now);
    String version = history.onlyVersion(service, endpoints, horizonNanos, now, loop.epochMillis());
    return version == null ? null : new StreamOrigin(service, version);
  }

  /** Returns the number of streams whose origin is known. */
  public int size() {
    return streams.size();
  }

  /** Handles the message of another host; returns whether it is one of this component. */
  boolean received(String from, SchedulingMessage message) {
    if (message instanceof SchedulingMessage.StreamBegan stream) {
      Stream begun = new Stream(stream.origin(), loop.nanoTime(), false);
      streams.putIfAbsent(stream.requestId(), begun);
    } else if (message instanceof SchedulingMessage.StreamOriginQuery query) {
      Stream known = streams.get(query.requestId());
      StreamOrigin origin = known == null ? null : known.origin();
      transport.accept(from, new SchedulingMessage.StreamOriginResponse(query.requestId(), origin));
    } else if (message instanceof SchedulingMessage.StreamOriginResponse response) {
      receivedResponse(from, response);
    } else {
      return false;
    }
    return true;
  }

  private void receivedResponse(String from, SchedulingMessage.StreamOriginResponse response) {
    Query query = queries.get(response.requestId());
    if (query == null) {
      return;
    }
    query.unanswered.remove(from);
    if (response.origin() != null || query.unanswered.isEmpty()) {
      queries.remove(response.requestId());
      query.listeners.forEach(listener -> listener.found(response.origin(), true));
    }
  }
}
