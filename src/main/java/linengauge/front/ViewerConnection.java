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
import linengauge.flow.Account;
import linengauge.flow.DoorBook;
import linengauge.flow.Knock;
import linengauge.vrrp.udp.Lease;

/**
 * One connection of a viewer: its place at the door, how far it is with its next request, and its
 * account of bytes. What waits is read off the library's channel, which counts it anyway; the
 * library (pinned) has no public way to ask for it.
 */
final class ViewerConnection implements Account.Peer, Knock.Caller {
  private final HttpConnection connection;
  private final Channel channel;
  private final FrontServer front;
  private final Sparse log;
  private final boolean rejected;

  /** Of the shared address by which it came; null where it came by the front's own. */
  private final Lease lease;

  private boolean closesAfterResponse;
  private final Knock attempt;
  private final Account account;
  private Runnable resume = () -> {};
  private HttpViewer receivingViewer;

  /**
   * What to do where the viewer breaks off while an answer is owed to it; one at a time, as
   * HTTP/1.1 answers in order.
   */
  private Runnable onDisconnect = () -> {};

  ViewerConnection(
      HttpConnection connection,
      DoorBook.Entry entry,
      Lease lease,
      EventLoops eventLoop,
      FrontServer front,
      Sparse log) {
    this.lease = lease;
    this.connection = connection;
    this.channel = ((ConnectionBase) connection).channel();
    this.front = front;
    this.log = log;
    this.rejected = entry == DoorBook.Entry.TURNED_AWAY;
    this.attempt = eventLoop.attempts().open(this);
    this.account = eventLoop.slowPeers().open(Account.Side.VIEWER, this);
    channel
        .pipeline()
        .addFirst(
            new ChannelInboundHandlerAdapter() {
              @Override
              public void channelRead(ChannelHandlerContext context, Object bytes) {
                attempt.heard();
                context.fireChannelRead(bytes);
              }
            });
  }

  Account account() {
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
  void addressLost() {
    closesAfterResponse = true;
    if (attempt.state() == Knock.State.BETWEEN) {
      channel.close();
    }
  }

  boolean isRejected() {
    return rejected;
  }

  /** A request has come; false where too many wait here. */
  boolean requestReceived() {
    return attempt.asked();
  }

  void responseEnded() {
    attempt.answered();
    if (rejected || closesAfterResponse && !attempt.isOwed()) {
      connection.close();
    }
  }

  /** Bytes of this viewing are on their way on this connection. */
  void startTransfer(HttpViewer viewer, Runnable onResume) {
    receivingViewer = viewer;
    resume = onResume;
  }

  void onDisconnect(Runnable action) {
    onDisconnect = action;
  }

  void connectionClosed() {
    attempt.close();
    account.close();
    onDisconnect.run();
  }

  @Override
  public long waiting() {
    ChannelOutboundBuffer outbound = channel.unsafe().outboundBuffer();
    return outbound == null ? 0 : outbound.totalPendingWriteBytes();
  }

  @Override
  public void moved() {
    if (receivingViewer != null) {
      receivingViewer.recordActivity(); // one that reads a long segment asks for nothing meanwhile
    }
  }

  @Override
  public void goOn() {
    resume.run();
  }

  @Override
  public void letGo(Account slowAccount) {
    if (receivingViewer != null) {
      HttpViewer viewer = receivingViewer;
      log.warn("viewer let go", viewer.viewing().id(), describeRate(slowAccount));
      front.runOnSessionLoop(() -> viewer.viewing().letGo());
    }
    // What waits is thrown away, here and in the system: a viewer that reads nothing would keep it
    // for ever.
    channel.config().setOption(ChannelOption.SO_LINGER, 0);
    channel.close();
  }

  static String describeRate(Account account) {
    return String.format(
        Locale.ROOT,
        "%.0f bytes a second of %.0f over %.1f s, %d wait",
        account.rate(),
        account.least(),
        account.owed().seconds(),
        account.waiting());
  }

  @Override
  public void tooLong(Knock.State state) {
    log.warn("caller closed", connection.remoteAddress().hostAddress(), state);
    channel
        .close(); // at once: the library's own close would wait until a caller that reads nothing
    // has read
  }
}
