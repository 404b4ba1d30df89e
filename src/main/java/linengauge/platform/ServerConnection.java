package linengauge.platform;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import linengauge.Moment;
import linengauge.Outside.Ending;
import linengauge.Span;
import linengauge.platform.LogEvent.Kind;
import linengauge.platform.codec.MalformedMessageException;
import linengauge.platform.codec.ServerLineCodec;
import linengauge.platform.codec.TextFormat;
import linengauge.platform.connection.ConnectionHealth;
import linengauge.platform.connection.RecentAttemptIds;
import linengauge.platform.connection.UnconfirmedEnds;
import linengauge.session.Carrier.Wake;
import linengauge.session.Held;

/** One connection to a media box, from being tried until it has closed. */
final class ServerConnection implements ServerLineCodec.Handler {
  private static final int MOST_UNREAD = 256 * 1024;
  private static final int MOST_SPENT = 2048;

  /**
   * Longer than anything of an attempt is on its way: as long as the platform gives to release what
   * has ended.
   */
  private static final Span SPENT_KEPT = Span.ofSeconds(8);

  /** A connection stays open so long for the server to confirm an end that was written on it. */
  private static final Span CONFIRMED_WITHIN = Span.ofSeconds(1);

  /** How it ended: closed by either side, or never there. */
  private enum Gone {
    CLOSED,
    NOT_REACHED,
    REFUSED
  }

  /** A set-up that is out on it, or waits for it to come up. */
  private static final class Out {
    private final Held held;
    private final int tuneIn;
    private boolean written;
    private Moment writtenAt;

    private Out(Held held, int tuneIn) {
      this.held = held;
      this.tuneIn = tuneIn;
    }
  }

  private final ServerLink link;
  private final int number;
  private final String address;
  private final int closingsWhenBegun;
  private final ServerLineCodec reader = new ServerLineCodec(this);
  private final Map<Long, Out> outs = new LinkedHashMap<>();
  private final RecentAttemptIds spent = new RecentAttemptIds(MOST_SPENT, SPENT_KEPT);

  /** An attempt whose end was written here; none where it is that of a session that stood. */
  private record GivenUp(Held held, int attempt) {}

  private final UnconfirmedEnds<GivenUp> unconfirmed =
      new UnconfirmedEnds<>(MOST_SPENT, SPENT_KEPT);

  /** Tests whose result is waited for, with their timers. */
  private final Map<Long, Wake> tests = new LinkedHashMap<>();

  private Net.Connection socket;
  private boolean closed;

  /** This front closes it since nothing is left on it. */
  private boolean rested;

  private final ConnectionHealth line;

  ServerConnection(ServerLink link, String address, int closingsWhenBegun) {
    this.link = link;
    this.number = link.links().nextConnectionNumber();
    this.address = address;
    this.closingsWhenBegun = closingsWhenBegun;
    this.line = new ConnectionHealth(front().now());
  }

  private PlatformFront front() {
    return link.links().front();
  }

  boolean isUp() {
    return socket != null && !closed;
  }

  /** It takes nothing more. */
  boolean isRetired() {
    return line.isRetired() || closed;
  }

  int load() {
    return outs.size() + tests.size();
  }

  int closingsWhenBegun() {
    return closingsWhenBegun;
  }

  /** When that set-up was written here; null where it was not. */
  Moment writtenAt(Held vw, int tuneIn) {
    Out out = outs.get(((ClientSession) vw.viewer()).id());
    return out != null && out.held == vw && out.tuneIn == tuneIn ? out.writtenAt : null;
  }

  /** How it is used. */
  ConnectionHealth line() {
    return line;
  }

  /** In the log. */
  int number() {
    return number;
  }

  private void log(Kind kind, String reason) {
    front().events().ofConnection(kind, link.box().id(), number, reason);
  }

  void connect() {
    log(Kind.CONNECTION_DIALLED, address);
    front()
        .connect(
            address,
            MOST_UNREAD,
            new Net.Tried() {
              @Override
              public void up(Net.Connection connection) {
                if (closed) {
                  connection.close();
                } else {
                  ServerConnection.this.up(connection);
                }
              }

              @Override
              public void failed(boolean refused, String why) {
                gone(refused ? Gone.REFUSED : Gone.NOT_REACHED, why);
              }
            });
  }

  private void up(Net.Connection s) {
    socket = s;
    line.onUp(front().now());
    log(Kind.CONNECTION_UP, "");
    s.hears(
        data -> front().onEvent(() -> read(data)),
        () -> front().onEvent(() -> gone(Gone.CLOSED, "by the server")));
    link.up(this);
    // What came while it was dialled is read first: a viewer may have left meanwhile.
    front()
        .later(
            () -> {
              for (Map.Entry<Long, Out> o : List.copyOf(outs.entrySet())) {
                if (!o.getValue().written) {
                  front().tick();
                  send(o.getKey(), o.getValue());
                }
              }
            });
    for (long id : List.copyOf(tests.keySet())) {
      writeTest(id);
    }
  }

  private void read(byte[] data) {
    if (closed) {
      return;
    }
    link.heard();
    line.onReceived(front().now());
    try {
      boolean ended = reader.feed(data) > 0;
      line.onRead(ended, reader.hasPartialLine(), front().now());
    } catch (MalformedMessageException e) {
      front().log("unreadable server", TextFormat.formatServerId(link.box().id()), e.getMessage());
      close(e.getMessage());
    }
  }

  void write(byte[] message) {
    if (!isUp()) {
      return;
    }
    if (socket.isFull()) {
      front().later(() -> close("does not read"));
      return;
    }
    line.onSent(front().now());
    socket.write(message);
  }

  /* ---- what is sent ---- */

  /**
   * Whether an attempt of that id was here before: what still comes of it could be taken for an
   * answer to another.
   */
  boolean hasSpent(long id) {
    return spent.contains(id, front().now());
  }

  void setUp(Held vw, int tuneIn) {
    Out out = new Out(vw, tuneIn);
    outs.put(((ClientSession) vw.viewer()).id(), out);
    if (isUp()) {
      send(((ClientSession) vw.viewer()).id(), out);
    }
  }

  /** The one place that set-ups leave by: once the loop has read what may end them. */
  private void send(long id, Out out) {
    front()
        .whenRead(
            () -> {
              if (outs.get(id) == out && !out.written && isUp()) {
                leave(id, out);
              }
            });
  }

  private void leave(long id, Out out) {
    if (!out.held.sendable(out.tuneIn)) {
      outs.remove(id, out);
      front().later(() -> out.held.failed(out.tuneIn, Ending.NEVER_SENT));
      return;
    }
    out.written = true;
    out.writtenAt = front().now();
    spent.add(id, out.writtenAt);
    ClientSession seat = (ClientSession) out.held.viewer();
    seat.attemptSent(out.tuneIn, link.box(), number, out.held.waitLeft());
    write(
        ServerLineCodec.encodeSetUp(
            id,
            seat.pack(),
            out.held.ask().title(),
            Math.max(1, out.held.waitLeft().micros() / 1000),
            out.held.rungNow(),
            seat.description()));
  }

  void test(long id) {
    Moment asked = front().now();
    tests.put(
        id,
        front()
            .after(
                front().briefing().dial(),
                () -> {
                  if (tests.remove(id) != null) {
                    line.onUnanswered(asked);
                    front().desk().probed(link.box(), link.silence(asked, null));
                  }
                }));
    if (isUp()) {
      writeTest(id);
    }
  }

  private void writeTest(long id) {
    unconfirmed.onTestWritten(id);
    write(ServerLineCodec.encodeTest(id));
  }

  /**
   * Asks whether the box is there at all: any answer is a sign, none is judged by {@link
   * ServerLink#look}.
   */
  void ask(long id) {
    writeTest(id);
  }

  /** Tells that a session that stands is over. */
  void end(long id) {
    end(id, null);
  }

  private void end(long id, GivenUp attempt) {
    write(ServerLineCodec.encodeEnd(id));
    unconfirmed.onEndWritten(id, attempt, front().now());
  }

  /** Takes back a set-up that is out here; false where it is not. */
  boolean withdraw(Held vw, int tuneIn) {
    long id = ((ClientSession) vw.viewer()).id();
    Out out = outs.get(id);
    if (out == null || out.held != vw || out.tuneIn != tuneIn) {
      return false;
    }
    outs.remove(id);
    if (out.written) {
      ((ClientSession) vw.viewer()).logged(Kind.GIVE_UP_SENT, link.box(), tuneIn, number, "");
      end(id, new GivenUp(vw, tuneIn));
      if (vw.waitLeft().equals(Span.NONE)) {
        line.onUnanswered(out.writtenAt);
      }
    }
    return true;
  }

  /* ---- what is heard ---- */

  @Override
  public void onStarted(long id, byte[] description) {
    Out out = outs.get(id);
    if (out == null || !out.written) {
      return;
    }
    ClientSession seat = (ClientSession) out.held.viewer();
    seat.answered(description);
    seat.logged(Kind.ATTEMPT_ANSWERED, link.box(), out.tuneIn, number, "");
    front().tick();
    out.held.plays(out.tuneIn);
    // Where the core did not want it any more it has been taken back meanwhile, on this very
    // connection.
    if (outs.remove(id, out)) {
      link.plays(seat, this);
    }
  }

  @Override
  public void onEnded(long id, int cause, ServerLineCodec.Load load) {
    link.reported(load);
    Out out = outs.get(id);
    if (out == null || !out.written) {
      confirmed(unconfirmed.confirm(id));
      link.ended(id, ServerLineCodec.sessionOutcome(cause), this);
      return;
    }
    outs.remove(id);
    ((ClientSession) out.held.viewer())
        .logged(Kind.ATTEMPT_ANSWERED, link.box(), out.tuneIn, number, "cause " + cause);
    out.held.failed(out.tuneIn, ServerLineCodec.setUpOutcome(cause));
  }

  /** An end of that id has been written here and not been confirmed. */
  boolean awaitsConfirmation(long id) {
    return isUp() && unconfirmed.isUnconfirmed(id);
  }

  @Override
  public void onEndConfirmed(long id) {
    confirmed(unconfirmed.confirm(id));
  }

  private void confirmed(GivenUp attempt) {
    if (attempt != null) {
      ((ClientSession) attempt.held.viewer())
          .logged(Kind.END_CONFIRMED, link.box(), attempt.attempt, number, "");
      attempt.held.endConfirmed(attempt.attempt);
    }
  }

  @Override
  public void onTestAnswered(long id, boolean passed, ServerLineCodec.Load load) {
    link.reported(load);
    unconfirmed.confirmByTest(id).forEach(this::confirmed);
    Wake timer = tests.remove(id);
    if (timer != null) {
      timer.cancel();
      front().desk().probed(link.box(), passed);
    }
  }

  @Override
  public void onShareDelivered(long id, double share) {
    Held vw = link.playing(id);
    if (vw != null) {
      vw.shareDelivered(share);
    }
  }

  @Override
  public void onRungApplied(long id, int rung) {
    Held vw = link.playing(id);
    if (vw != null) {
      vw.rungInForce(rung);
    }
  }

  @Override
  public void onLoadsReported(long id, double linkAsked, double uplinkAsked) {
    Held vw = link.playing(id);
    if (vw != null) {
      vw.loadsTold(linkAsked, uplinkAsked);
    }
  }

  /* ---- its end ---- */

  void look(Moment now, Span rests) {
    int open = load() + unconfirmed.writtenSince(now.minus(CONFIRMED_WITHIN)).size();
    switch (line.verdict(open, isUp() ? rests : Span.NONE, now)) {
      case CLOSE_BROKEN -> close("a line that does not end");
      case CLOSE_IDLE -> {
        rested = !line.isRetired();
        close("rests");
      }
      default -> {}
    }
  }

  void close(String why) {
    if (!closed) {
      if (socket != null) {
        endAttempts();
        socket.close();
      }
      gone(Gone.CLOSED, why);
    }
  }

  /** In order behind their set-ups: one that has been answered meanwhile would stand for nobody. */
  private void endAttempts() {
    outs.forEach(
        (id, out) -> {
          if (out.written && !socket.isFull()) {
            socket.write(ServerLineCodec.encodeEnd(id));
          }
        });
  }

  private void gone(Gone how, String why) {
    if (closed) {
      return;
    }
    closed = true;
    boolean wasUp = socket != null;
    log(Kind.CONNECTION_CLOSED, why + ", " + outs.size() + " attempts out");
    // Written so lately, an end may be lost with the connection.
    unconfirmed.writtenSince(front().now().minus(CONFIRMED_WITHIN)).forEach(link::endAfterClose);
    for (Out out : ServerLinks.taken(outs)) {
      if (out.written) {
        link.endAfterClose(((ClientSession) out.held.viewer()).id());
      }
      Ending broken =
          out.written && link.silence(out.writtenAt, this) == Ending.UNHEARD
              ? Ending.UNHEARD
              : Ending.BROKEN;
      out.held.failed(out.tuneIn, out.written ? broken : Ending.NOT_REACHED);
    }
    for (Wake timer : ServerLinks.taken(tests)) {
      timer.cancel();
      front().desk().probed(link.box(), false);
    }
    link.closed(this, wasUp || how == Gone.CLOSED, how == Gone.REFUSED, rested);
  }
}
