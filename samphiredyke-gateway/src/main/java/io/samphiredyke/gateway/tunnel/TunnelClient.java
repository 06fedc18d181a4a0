package io.samphiredyke.gateway.tunnel;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.samphiredyke.net.control.SocketAddresses;
import io.samphiredyke.net.http.TcpProfile;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

/** Opens tunnels to endpoints through other hosts. */
public final class TunnelClient {

  /** Receives the result of one request for a tunnel, on the event loop. */
  public interface Listener {

    /**
     * Called when the tunnel is open.
     *
     * @param channel connection whose bytes are the endpoint's from now on; its end is passed on as
     *     one only if the endpoint ended it regularly, else as a failure
     */
    void opened(Channel channel);

    /** Called when the tunnel could not be opened. */
    void refused(TunnelRefusal refusal);
  }

  /** Time limit of a request for a tunnel, more than a peer waits for the endpoint. */
  private static final int TIMEOUT_MILLIS = 500;

  private final EventLoop loop;
  private final String self;

  /**
   * Creates a client.
   *
   * @param self peer address of this host
   */
  public TunnelClient(EventLoop loop, String self) {
    this.loop = loop;
    this.self = self;
  }

  /**
   * Asks a peer for a tunnel.
   *
   * @param peer address of the peer
   * @param address address of the endpoint, as registered
   * @param requestId id of the request that needs the connection
   */
  public void open(
      String peer, String address, String endpointId, String requestId, Listener listener) {
    TunnelRequest request = new TunnelRequest(address, endpointId, requestId, self, true);
    ResponseReader reader = new ResponseReader(request, listener);
    Bootstrap bootstrap =
        new Bootstrap().group(loop).channel(NioSocketChannel.class).handler(reader);
    ChannelFuture connecting =
        TcpProfile.PROBED
            .opened(bootstrap, Duration.ofMillis(TIMEOUT_MILLIS))
            .connect(SocketAddresses.parse(peer));
    loop.schedule(() -> reader.timeOut(connecting), TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    connecting.addListener(
        done -> {
          if (!done.isSuccess()) {
            reader.refuse(
                TunnelRefusal.Kind.PEER_UNAVAILABLE, String.valueOf(done.cause().getMessage()));
          }
        });
  }

  private static final class ResponseReader extends HeadReader {

    private final TunnelRequest request;
    private final Listener listener;
    private boolean answered;

    ResponseReader(TunnelRequest request, Listener listener) {
      super(TIMEOUT_MILLIS);
      this.request = request;
      this.listener = listener;
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
      ctx.writeAndFlush(Unpooled.copiedBuffer(request.encode(), StandardCharsets.ISO_8859_1));
      super.channelActive(ctx);
    }

    @Override
    void onHead(ChannelHandlerContext ctx, String received) {
      TunnelRefusal refusal = TunnelResponse.refusal(received);
      if (refusal != null) {
        ctx.close();
        refuse(refusal.kind(), refusal.reason());
        return;
      }
      if (answered) {
        ctx.close();
        return;
      }
      answered = true;
      TunnelFraming.addDecoder(ctx.pipeline(), TunnelResponse.isFramed(received));
      ctx.pipeline().remove(this);
      listener.opened(ctx.channel());
    }

    @Override
    void onSurplus(ChannelHandlerContext ctx, String reason) {
      // What precedes the first request is the endpoint's, which may have ended the connection.
      ctx.close();
      refuse(TunnelRefusal.Kind.ENDPOINT_UNREACHABLE, reason);
    }

    @Override
    void onMalformed(ChannelHandlerContext ctx, String reason) {
      ctx.close();
      refuse(TunnelRefusal.Kind.PEER_UNAVAILABLE, reason);
    }

    void timeOut(ChannelFuture connecting) {
      if (!answered) {
        connecting.channel().close();
        refuse(TunnelRefusal.Kind.PEER_UNAVAILABLE, "no answer in " + TIMEOUT_MILLIS + " ms");
      }
    }

    void refuse(TunnelRefusal.Kind kind, String reason) {
      if (!answered) {
        answered = true;
        listener.refused(new TunnelRefusal(kind, reason));
      }
    }
  }
}
