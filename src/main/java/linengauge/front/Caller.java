package linengauge.front;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelOutboundBuffer;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.net.impl.ConnectionBase;
import java.util.Locale;
import linengauge.carry.Sparse;
import linengauge.flow.ConnectionAttempt;
import linengauge.flow.ConnectionLedger;
import linengauge.flow.PeerTraffic;
import linengauge.vrrp.udp.Lease;

/**
 * One connection of a viewer: its place at the door, how far it is with its next request, and its
 * account of bytes. What waits is read off the library's channel, which counts it anyway; the
 * library (pinned) has no public way to ask for it.
 */
final class Caller implements PeerTraffic.Peer, ConnectionAttempt.Connection {
  private final HttpConnection connection;
  private final Channel channel;
  private final FrontProgram program;
  private final Sparse log;
  private final boolean turnedAway;

  /** Of the shared address by which it came; null where it came by the front's own. */
  private final Lease lease;

  private boolean lastAnswer;
  private final ConnectionAttempt knock;
  private final PeerTraffic account;
  private Runnable goOn = () -> {};
  private ViewerEnd takes;

  /**
   * What to do where the viewer breaks off while an answer is owed to it; one at a time, as
   * HTTP/1.1 answers in order.
   */
  private Runnable waits = () -> {};

  Caller(
      HttpConnection connection,
      ConnectionLedger.Admission entry,
      Lease lease,
      Loops here,
      FrontProgram program,
      Sparse log) {
    this.lease = lease;
    this.connection = connection;
    this.channel = ((ConnectionBase) connection).channel();
    this.program = program;
    this.log = log;
    this.turnedAway = entry == ConnectionLedger.Admission.REJECTED;
    this.knock = here.knocks().open(this);
    this.account = here.watch().open(PeerTraffic.Side.VIEWER, this);
    channel
        .pipeline()
        .addFirst(
            new ChannelInboundHandlerAdapter() {
              @Override
              public void channelRead(ChannelHandlerContext context, Object bytes) {
                knock.byteReceived();
                context.fireChannelRead(bytes);
              }
            });
  }

  PeerTraffic account() {
    return account;
  }

  Lease lease() {
    return lease;
  }

  /**
   * The shared address is another front's now: what is owed here is still answered, and nothing
   * more is taken. One that has not asked yet may have its request on the way, and is to hear an
   * answer and no break.
   */
  void gaveUp() {
    lastAnswer = true;
    if (knock.state() == ConnectionAttempt.State.BETWEEN) {
      channel.close();
    }
  }

  boolean isTurnedAway() {
    return turnedAway;
  }

  /** A request has come; false where too many wait here. */
  boolean asked() {
    return knock.requestReceived();
  }

  void answered() {
    knock.responseEnded();
    if (turnedAway || lastAnswer && !knock.isResponsePending()) {
      connection.close();
    }
  }

  /** Bytes of this viewing are on their way on this connection. */
  void takes(ViewerEnd viewer, Runnable then) {
    takes = viewer;
    goOn = then;
  }

  void waits(Runnable broken) {
    waits = broken;
  }

  void closed() {
    knock.close();
    account.close();
    waits.run();
  }

  @Override
  public long queuedBytes() {
    ChannelOutboundBuffer out = channel.unsafe().outboundBuffer();
    return out == null ? 0 : out.totalPendingWriteBytes();
  }

  @Override
  public void progressed() {
    if (takes != null) {
      takes.asked(); // one that reads a long segment asks for nothing meanwhile
    }
  }

  @Override
  public void resume() {
    goOn.run();
  }

  @Override
  public void disconnect(PeerTraffic a) {
    if (takes != null) {
      ViewerEnd viewer = takes;
      log.warn("viewer let go", viewer.held().id(), figures(a));
      program.onDesk(() -> viewer.held().letGo());
    }
    // What waits is thrown away, here and in the system: a viewer that reads nothing would keep it
    // for ever.
    channel.config().setOption(ChannelOption.SO_LINGER, 0);
    channel.close();
  }

  static String figures(PeerTraffic a) {
    return String.format(
        Locale.ROOT,
        "%.0f bytes a second of %.0f over %.1f s, %d wait",
        a.bytesPerSecond(),
        a.minBytesPerSecond(),
        a.owedTime().seconds(),
        a.queuedBytes());
  }

  @Override
  public void timedOut(ConnectionAttempt.State state) {
    log.warn("caller closed", connection.remoteAddress().hostAddress(), state);
    channel
        .close(); // at once: the library's own close would wait until a caller that reads nothing
    // has read
  }
}
