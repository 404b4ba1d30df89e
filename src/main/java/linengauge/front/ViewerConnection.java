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
 * One connection of a viewer: its admission, the progress of its next request, and its byte
 * account. The number of waiting bytes is read from the Netty channel, which counts them anyway;
 * the pinned version of Vert.x has no public method for it.
 */
final class ViewerConnection implements Account.Peer, Knock.Caller {
  private final HttpConnection connection;
  private final Channel channel;
  private final FrontServer front;
  private final Sparse log;
  private final boolean rejected;

  /**
   * Lease of the shared address on which the connection was accepted; null for the front's own
   * address.
   */
  private final Lease lease;

  private boolean closesAfterResponse;
  private final Knock attempt;
  private final Account account;
  private Runnable resume = () -> {};
  private HttpViewer receivingViewer;

  /**
   * Runs where the viewer disconnects while a response is pending. One action suffices, as HTTP/1.1
   * answers in order.
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
   * Called when the shared address has moved to another front. Pending requests are still answered,
   * no further one is accepted, and an idle connection is closed. A connection that has not sent
   * its first request yet stays open, as the request may be in transit and should get a response
   * instead of a reset.
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

  /** Records a request; false where too many are waiting on this connection. */
  boolean requestReceived() {
    return attempt.asked();
  }

  void responseEnded() {
    attempt.answered();
    if (rejected || closesAfterResponse && !attempt.isOwed()) {
      connection.close();
    }
  }

  /**
   * Registers the viewing whose bytes are sent on this connection, and the action that resumes
   * sending.
   */
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
      // A viewer that reads a long segment sends no request meanwhile.
      receivingViewer.recordActivity();
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
      log.warn("slow viewer closed", viewer.viewing().id(), describeRate(slowAccount));
      front.runOnSessionLoop(() -> viewer.viewing().letGo());
    }
    // Discards the waiting bytes, here and in the socket: a viewer that reads nothing would retain
    // them indefinitely.
    channel.config().setOption(ChannelOption.SO_LINGER, 0);
    channel.close();
  }

  static String describeRate(Account account) {
    return String.format(
        Locale.ROOT,
        "%.0f of %.0f bytes/s over %.1f s, %d bytes waiting",
        account.rate(),
        account.least(),
        account.owed().seconds(),
        account.waiting());
  }

  @Override
  public void tooLong(Knock.State state) {
    log.warn("connection timed out", connection.remoteAddress().hostAddress(), state);
    // Closes at once: the library's own close would wait for a viewer that reads nothing.
    channel.close();
  }
}
