package io.samphiredyke.net.http;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.util.concurrent.EventExecutor;
import io.netty.util.internal.logging.InternalLogger;
import io.netty.util.internal.logging.InternalLoggerFactory;
import java.util.HashMap;
import java.util.Map;

/** The memory of a server's clients, a part of the heap that its event loops share equally. */
final class LoopMemories {

  private static final InternalLogger logger =
      InternalLoggerFactory.getInstance(LoopMemories.class);

  /** Part of the heap that the requests of clients may occupy, for all event loops. */
  private static final int HEAP_DIVISOR = 4;

  /** Largest bodies for which an event loop has memory however small the heap is. */
  private static final long MIN_BODIES = 2;

  private final Map<EventExecutor, ClientMemory> memories = new HashMap<>();

  LoopMemories(EventLoopGroup group, int maxBodyBytes) {
    int loops = 0;
    for (EventExecutor ignored : group) {
      loops++;
    }
    long part = Runtime.getRuntime().maxMemory() / HEAP_DIVISOR / loops;
    for (EventExecutor loop : group) {
      memories.put(
          loop, new ClientMemory(Math.max(part, MIN_BODIES * maxBodyBytes), LoopMemories::log));
    }
  }

  private static void log(String name, long bytes, long used) {
    logger.info("client memory reclaimed: client={} bytes={} all={}", name, bytes, used);
  }

  ClientMemory of(EventLoop loop) {
    ClientMemory memory = memories.get(loop);
    if (memory == null) {
      throw new IllegalArgumentException("an event loop of another group");
    }
    return memory;
  }
}
