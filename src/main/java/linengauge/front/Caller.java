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
import linengauge.vrrp.udp.AddressLease;

/**
 * One connection of a viewer: its place at the door, how far it is with its next request, and its
 * account of bytes. What waits is read off the library's channel, which counts it anyway; the
 * library (pinned) has no public way to ask for it.
 */
final class Caller implements Account.Peer, Knock.Caller {
  private final HttpConnection connection;
  private final Channel channel;
  private final FrontProgram program;
  private final Sparse log;
  private final boolean turnedAway;

  /** Of the shared address by which it came; null where it came by the front's own. */
  private final AddressLease lease;

  private boolean lastAnswer;
  private final Knock knock;
  private final Account account;
  private Runnable goOn = () -> {};
  private ViewerEnd takes;

  /**
   * What to do where the viewer breaks off while an answer is owed to it; one at a time, as
   * HTTP/1.1 answers in order.
   */
  private Runnable waits = () -> {};

  Caller(
      HttpConnection connection,
      DoorBook.Entry entry,
      AddressLease lease,
      Loops here,
      FrontProgram program,
      Sparse log) {
    this.lease = lease;
    this.connection = connection;
    this.channel = ((ConnectionBase) connection).channel();
    this.program = program;
    this.log = log;
    this.turnedAway = entry == DoorBook.Entry.TURNED_AWAY;
    this.knock = here.knocks().open(this);
    this.account = here.watch().open(Account.Side.VIEWER, this);
    channel
        .pipeline()
        .addFirst(
            new ChannelInboundHandlerAdapter() {
              @Override
              public void channelRead(ChannelHandlerContext context, Object bytes) {
                knock.heard();
                context.fireChannelRead(bytes);
              }
            });
  }

  Account account() {
    return account;
  }

  AddressLease lease() {
    return lease;
  }

  /**
   * The shared address is another front's now: what is owed here is still answered, and nothing
   * more is taken. One that has not asked yet may have its request on the way, and is to hear an
   * answer and no break.
   */
  void gaveUp() {
    lastAnswer = true;
    if (knock.state() == Knock.State.BETWEEN) {
      channel.close();
    }
  }

  boolean isTurnedAway() {
    return turnedAway;
  }

  /** A request has come; false where too many wait here. */
  boolean asked() {
    return knock.asked();
  }

  void answered() {
    knock.answered();
    if (turnedAway || lastAnswer && !knock.isOwed()) {
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
  public long waiting() {
    ChannelOutboundBuffer out = channel.unsafe().outboundBuffer();
    return out == null ? 0 : out.totalPendingWriteBytes();
  }

  @Override
  public void moved() {
    if (takes != null) {
      takes.asked(); // one that reads a long segment asks for nothing meanwhile
    }
  }

  @Override
  public void goOn() {
    goOn.run();
  }

  @Override
  public void letGo(Account a) {
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

  static String figures(Account a) {
    return String.format(
        Locale.ROOT,
        "%.0f bytes a second of %.0f over %.1f s, %d wait",
        a.rate(),
        a.least(),
        a.owed().seconds(),
        a.waiting());
  }

  @Override
  public void tooLong(Knock.State state) {
    log.warn("caller closed", connection.remoteAddress().hostAddress(), state);
    channel
        .close(); // at once: the library's own close would wait until a caller that reads nothing
    // has read
  }
}
