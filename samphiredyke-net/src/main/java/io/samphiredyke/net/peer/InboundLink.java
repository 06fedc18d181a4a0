package io.samphiredyke.net.peer;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.timeout.IdleStateEvent;
import io.samphiredyke.schema.message.Hello;
import io.samphiredyke.schema.message.PeerMessage;
import io.samphiredyke.schema.message.Ping;
import io.samphiredyke.schema.message.Pong;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/** The accepting side of a link. A message before a valid handshake closes the link. */
final class InboundLink extends SimpleChannelInboundHandler<PeerFrame> {

  private final Handshake handshake;
  private final PeerHandler handler;
  private final PeerCounters counters;
  private final String serverNonce = Handshake.nonce();
  private @Nullable Hello firstHello;
  private @Nullable PeerIdentity peer;

  InboundLink(Handshake handshake, PeerHandler handler, PeerCounters counters) {
    this.handshake = handshake;
    this.handler = handler;
    this.counters = counters;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, PeerFrame frame) {
    PeerIdentity authenticated = peer;
    if (authenticated == null) {
      continueHandshake(ctx, frame);
      return;
    }
    if (frame.message() instanceof Ping ping) {
      reply(ctx, frame, Pong.builder().sequence(ping.sequence()).build());
      return;
    }
    Consumer<PeerMessage> replier = message -> reply(ctx, frame, message);
    handler.handle(authenticated, frame.message(), replier);
  }

  private void continueHandshake(ChannelHandlerContext ctx, PeerFrame frame) {
    if (!(frame.message() instanceof Hello hello)) {
      reject(ctx);
      return;
    }
    Hello first = firstHello;
    if (first == null) {
      firstHello = hello;
      ctx.writeAndFlush(new PeerFrame(PeerFrame.ONE_WAY, handshake.welcome(hello, serverNonce)));
      return;
    }
    boolean sameIncarnation = first.incarnation().equals(hello.incarnation());
    if (!sameIncarnation || !handshake.isAuthentic(hello, first.nonce(), serverNonce)) {
      reject(ctx);
      return;
    }
    peer = Handshake.identity(hello);
  }

  private void reject(ChannelHandlerContext ctx) {
    counters.rejectedHandshake();
    ctx.close();
  }

  private static void reply(ChannelHandlerContext ctx, PeerFrame frame, PeerMessage message) {
    if (frame.correlationId() > 0) {
      ctx.writeAndFlush(new PeerFrame(-frame.correlationId(), message));
    }
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
    if (event instanceof IdleStateEvent) {
      ctx.close();
    }
    ctx.fireUserEventTriggered(event);
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    counters.malformedFrame();
    ctx.close();
  }
}
