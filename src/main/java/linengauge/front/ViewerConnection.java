package linengauge.front;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelOutboundBuffer;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.net.impl.ConnectionBase;
import java.util.Locale;
import linengauge.flow.ConnectionAttempt;
import linengauge.flow.ConnectionLedger;
import linengauge.flow.PeerTraffic;
import linengauge.net.RateLimitedLog;
import linengauge.vrrp.udp.AddressLease;

/**
 * One connection of a viewer: its admission, the progress of its next request, and its byte
 * account. The number of waiting bytes is read from the Netty channel, which counts them anyway;
 * the pinned version of Vert.x has no public method for it.
 */
final class ViewerConnection implements PeerTraffic.Peer, ConnectionAttempt.Connection {
  private final HttpConnection connection;
  private final Channel channel;
  private final FrontServer front;
  private final RateLimitedLog log;
  private final boolean rejected;

  /**
   * Lease of the shared address on which the connection was accepted; null for the front's own
   * address.
   */
  private final AddressLease lease;

  private boolean closesAfterResponse;
  private final ConnectionAttempt attempt;
  private final PeerTraffic account;
  private Runnable resume = () -> {};
  private HttpViewer receivingViewer;

  /**
   * Runs where the viewer disconnects while a response is pending. One action suffices, as HTTP/1.1
   * answers in order.
   */
  private Runnable onDisconnect = () -> {};

  ViewerConnection(
      HttpConnection connection,
      ConnectionLedger.Admission entry,
      AddressLease lease,
      EventLoops eventLoop,
      FrontServer front,
      RateLimitedLog log) {
    this.lease = lease;
    this.connection = connection;
    this.channel = ((ConnectionBase) connection).channel();
    this.front = front;
    this.log = log;
    this.rejected = entry == ConnectionLedger.Admission.REJECTED;
    this.attempt = eventLoop.attempts().open(this);
    this.account = eventLoop.slowPeers().open(PeerTraffic.Side.VIEWER, this);
    channel
        .pipeline()
        .addFirst(
            new ChannelInboundHandlerAdapter() {
              @Override
              public void channelRead(ChannelHandlerContext context, Object bytes) {
                attempt.byteReceived();
                context.fireChannelRead(bytes);
              }
            });
  }

  PeerTraffic account() {
    return account;
  }

  AddressLease lease() {
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
    if (attempt.state() == ConnectionAttempt.State.BETWEEN) {
      channel.close();
    }
  }

  boolean isRejected() {
    return rejected;
  }

  /** Records a request; false where too many are waiting on this connection. */
  boolean requestReceived() {
    return attempt.requestReceived();
  }

  void responseEnded() {
    attempt.responseEnded();
    if (rejected || closesAfterResponse && !attempt.isResponsePending()) {
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
  public long queuedBytes() {
    ChannelOutboundBuffer outbound = channel.unsafe().outboundBuffer();
    return outbound == null ? 0 : outbound.totalPendingWriteBytes();
  }

  @Override
  public void progressed() {
    if (receivingViewer != null) {
      // A viewer that reads a long segment sends no request meanwhile.
      receivingViewer.recordActivity();
    }
  }

  @Override
  public void resume() {
    resume.run();
  }

  @Override
  public void disconnect(PeerTraffic slowAccount) {
    if (receivingViewer != null) {
      HttpViewer viewer = receivingViewer;
      log.warn("slow viewer closed", viewer.viewing().id(), describeRate(slowAccount));
      front.runOnSessionLoop(() -> viewer.viewing().dropSlowViewer());
    }
    // Discards the waiting bytes, here and in the socket: a viewer that reads nothing would retain
    // them indefinitely.
    channel.config().setOption(ChannelOption.SO_LINGER, 0);
    channel.close();
  }

  static String describeRate(PeerTraffic account) {
    return String.format(
        Locale.ROOT,
        "%.0f of %.0f bytes/s over %.1f s, %d bytes waiting",
        account.bytesPerSecond(),
        account.minBytesPerSecond(),
        account.owedTime().seconds(),
        account.queuedBytes());
  }

  @Override
  public void timedOut(ConnectionAttempt.State state) {
    log.warn("connection timed out", connection.remoteAddress().hostAddress(), state);
    // Closes at once: the library's own close would wait for a viewer that reads nothing.
    channel.close();
  }
}
