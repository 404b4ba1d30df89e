package linengauge.platform;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import linengauge.Moment;
import linengauge.Outside.Ending;
import linengauge.Span;
import linengauge.platform.codec.ServerLineCodec;
import linengauge.platform.codec.TextFormat;
import linengauge.platform.connection.EarlyEnds;
import linengauge.platform.connection.ReachabilityDetector;
import linengauge.platform.connection.TimeoutCause;
import linengauge.session.BoxTable;
import linengauge.session.Held;
import linengauge.session.Viewer;

/** One media box: its connections, and the viewings that stand there. */
final class ServerLink {
  private static final int MOST_CONNECTIONS = 4;
  private static final int MOST_UNSENT = 512;
  private static final int MOST_EARLY_ENDS = 256;

  /** As long as the platform gives a front to release what has ended. */
  private static final Span EARLY_END_KEPT = Span.ofSeconds(8);

  /** Where nothing else opens a connection, one is tried so often, and for so long. */
  private static final Span UNSENT_TRIED_EVERY = Span.ofSeconds(2);

  private static final Span UNSENT_TRIED_FOR = Span.ofSeconds(30);

  /** Longer than what was written on one connection is read after what was written on another. */
  private static final Span END_AGAIN = Span.ofSeconds(1);

  /** Connections beyond the first are closed when they have rested so long. */
  private static final Span SPARE_RESTS = Span.ofSeconds(4);

  private final ServerLinks links;
  private final BoxTable.Entry box;
  private final ReachabilityDetector reach;
  private final List<ServerConnection> connections = new ArrayList<>();

  /** Viewings that play at the box; each leaves with its end. */
  private final Map<Long, ClientSession> standing = new LinkedHashMap<>();

  private final EarlyEnds earlyEnds = new EarlyEnds(MOST_EARLY_ENDS, EARLY_END_KEPT);

  /** Lines that wait for a connection to be written on; bounded, the oldest goes. */
  private final ArrayDeque<byte[]> unsent = new ArrayDeque<>();

  /** When the last of them was added, and when a connection is next tried for them. */
  private Moment unsentSince = Moment.DISTANT_PAST;

  private Moment nextUnsentTry = Moment.DISTANT_PAST;

  ServerLink(ServerLinks links, BoxTable.Entry box) {
    this.links = links;
    this.box = box;
    this.reach =
        new ReachabilityDetector(ReachabilityDetector.Settings.PLATFORM, links.front().now());
  }

  BoxTable.Entry box() {
    return box;
  }

  ServerLinks links() {
    return links;
  }

  private PlatformFront front() {
    return links.front();
  }

  /* ---- what the core wants ---- */

  void setUp(Held vw, int tuneIn) {
    long id = ((ClientSession) vw.viewer()).id();
    ServerConnection w = connection(id);
    if (w == null || w.hasSpent(id)) {
      front().later(() -> vw.failed(tuneIn, Ending.NEVER_SENT));
    } else {
      w.setUp(vw, tuneIn);
    }
  }

  /** A test written behind the end shows, once it is answered, that the end has been read. */
  void askConfirmation(long id) {
    for (ServerConnection w : connections) {
      if (w.awaitsConfirmation(id)) {
        w.ask(links.testId());
      }
    }
  }

  void probe() {
    ServerConnection w = connection(0);
    if (w == null) {
      front().later(() -> front().desk().probed(box, false));
    } else {
      w.test(links.testId());
    }
  }

  void rung(ClientSession seat, int rung) {
    send(seat, ServerLineCodec.encodeRung(seat.id(), rung));
  }

  void withdraw(Held vw, int tuneIn) {
    ClientSession seat = (ClientSession) vw.viewer();
    for (ServerConnection w : List.copyOf(connections)) {
      if (w.withdraw(vw, tuneIn)) {
        return;
      }
    }
    // One that was never written is not said to be over.
    if (over(seat.id()) == null) {
      return;
    }
    if (reach.isLost(front().now())) {
      sendOnceUp(ServerLineCodec.encodeEnd(seat.id())); // it may play on, and be reached again
    } else {
      sendEnd(seat);
    }
  }

  void stands(ClientSession seat) {
    standing.put(seat.id(), seat);
    Ending how = earlyEnds.take(seat.id());
    if (how != null) {
      front().later(() -> ended(seat.id(), how, null));
      return;
    }
    if (connections.isEmpty()) {
      open();
    }
  }

  /**
   * Writes what concerns a session that stands. A connection keeps the order of what is written on
   * it and two do not, so all of it takes the connection of its set-up as long as that can be used,
   * then another one in the same way.
   */
  private void send(ClientSession session, byte[] line) {
    ServerConnection by = connectionOf(session);
    if (by != null) {
      by.write(line);
    } else {
      sendOnNext(line);
    }
  }

  private void sendEnd(ClientSession session) {
    ServerConnection by = connectionOf(session);
    if (by != null) {
      by.end(session.id());
    } else {
      sendOnNext(ServerLineCodec.encodeEnd(session.id()));
    }
  }

  /**
   * One that takes nothing new is still better than none: it may be read once its way is mended.
   */
  private ServerConnection connectionOf(ClientSession session) {
    if (usable(session.lastUsed())) {
      return session.lastUsed();
    }
    ServerConnection best = lastHeard();
    if (best != null || session.lastUsed() == null || !session.lastUsed().isUp()) {
      session.lastUsed(best);
    }
    return session.lastUsed();
  }

  private void sendOnNext(byte[] line) {
    if (box.state() == BoxTable.State.GONE) {
      return; // nobody is there to hear it
    }
    sendOnceUp(line);
    if (connections.isEmpty()) {
      open();
    }
  }

  /**
   * A connection has closed under an attempt. Its server may have answered meanwhile: then a
   * session stands there that belongs to no connection and to no client. So its end is told on
   * another one, or on the next that comes up; and once more later, as the first may overtake the
   * set-up.
   */
  void endAfterClose(long id) {
    endElsewhere(id);
    front().after(END_AGAIN, () -> endElsewhere(id));
  }

  private void endElsewhere(long id) {
    ServerConnection by = lastHeard();
    if (by != null) {
      by.write(ServerLineCodec.encodeEnd(id));
    } else if (box.state() != BoxTable.State.GONE) {
      sendOnceUp(ServerLineCodec.encodeEnd(id));
    }
  }

  private boolean usable(ServerConnection connection) {
    return connection != null
        && connection.isUp()
        && !connection.isRetired()
        && connections.contains(connection);
  }

  private ServerConnection lastHeard() {
    ServerConnection best = null;
    for (ServerConnection w : connections) {
      if (usable(w)
          && (best == null || best.line().lastReceivedAt().before(w.line().lastReceivedAt()))) {
        best = w;
      }
    }
    return best;
  }

  private void sendOnceUp(byte[] line) {
    if (unsent.size() == MOST_UNSENT) {
      unsent.poll();
    }
    unsent.add(line);
    Moment now = front().now();
    unsentSince = now;
    nextUnsentTry = nextUnsentTry.orLater(now.plus(UNSENT_TRIED_EVERY));
  }

  /**
   * The connection with the fewest set-ups and tests out that takes more, best one that has not had
   * that id; or null.
   */
  private ServerConnection leastLoaded(long id) {
    ServerConnection least = null;
    for (ServerConnection w : connections) {
      if (!w.isRetired()
          && (least == null
              || least.hasSpent(id) && !w.hasSpent(id)
              || least.hasSpent(id) == w.hasSpent(id) && w.load() < least.load())) {
        least = w;
      }
    }
    return least;
  }

  /**
   * A connection for one more attempt or test: one with none open, else a new one, else the one
   * with the fewest.
   */
  private ServerConnection connection(long id) {
    ServerConnection least = leastLoaded(id);
    long usable = connections.stream().filter(w -> !w.isRetired()).count();
    if (least != null && (least.load() == 0 && !least.hasSpent(id) || usable >= MOST_CONNECTIONS)) {
      return least;
    }
    ServerConnection fresh = open();
    return fresh == null ? least : fresh;
  }

  private ServerConnection open() {
    String address = box.address();
    if (address == null
        || Configuration.port(address) < 0
        || box.state() == BoxTable.State.GONE
        || !links.place() && !(links.makePlace() && links.place())) {
      return null;
    }
    ServerConnection w = new ServerConnection(this, address, reach.closeCount());
    connections.add(w);
    w.connect();
    return w;
  }

  /* ---- what its connections tell ---- */

  void up(ServerConnection w) {
    reach.onUp(w.closingsWhenBegun(), front().now());
    for (byte[] line = unsent.poll(); line != null; line = unsent.poll()) {
      w.write(line);
    }
  }

  void heard() {
    reach.onReceived(front().now());
  }

  /**
   * A connection has closed, or did not come up. One that this front closed since it rested leaves
   * nothing unsaid: nothing that plays was set up on it, and what has no connection of its own
   * keeps all open ({@link #look}).
   */
  void closed(ServerConnection w, boolean wasUp, boolean refused, boolean rested) {
    connections.remove(w);
    links.placeFree();
    for (ClientSession seat : standing.values()) {
      if (seat.wire() == w) {
        seat.wire(null);
      }
      if (seat.lastUsed() == w) {
        seat.lastUsed(null);
      }
    }
    if (wasUp) {
      if (!rested) {
        reach.onClosed();
      }
      return;
    }
    reach.onConnectFailed(front().now());
    if (refused && connections.stream().noneMatch(ServerConnection::isUp)) {
      // Nothing listens there: its process has died, and what it played with it. Where another
      // connection is up it lives,
      // and has no place for more; had it died, that one would close now, and the next one tried be
      // refused.
      lost("refused");
    }
  }

  private void lost(String why) {
    if (!standing.isEmpty()) {
      front()
          .log(
              "server lost",
              TextFormat.formatServerId(box.id()),
              why + ", " + standing.size() + " sessions");
      for (ClientSession seat : List.copyOf(standing.values())) {
        seat.held().boxLost(); // taken back at the box, which ends it here
        over(seat.id());
      }
      front().desk().lostSight(box);
    }
  }

  /* ---- what the box says ---- */

  void plays(ClientSession seat, ServerConnection by) {
    standing.put(seat.id(), seat);
    seat.wire(by);
    seat.lastUsed(by);
    by.line().addSessions(1);
  }

  /** It no longer plays here, for whatever reason; null where nothing of that id does. */
  private ClientSession over(long id) {
    ClientSession seat = standing.remove(id);
    if (seat != null && seat.wire() != null) {
      seat.wire().line().addSessions(-1);
      seat.wire(null);
    }
    return seat;
  }

  /**
   * The box says on that connection (null: before its handing over) that an attempt or a viewing is
   * over.
   */
  void ended(long id, Ending how, ServerConnection by) {
    ClientSession stands = standing.get(id);
    if (by != null
        && by.hasSpent(id)
        && stands != null
        && stands.wire() != null
        && stands.wire() != by) {
      return; // of an earlier attempt: a box says what concerns a session on the connection of its
      // set-up while that is open
    }
    ClientSession seat = over(id);
    if (seat == null) {
      earlyEnds.add(id, how, front().now());
    } else {
      seat.held()
          .boxEnded(
              how,
              switch (how) {
                case FINISHED -> Viewer.End.OVER;
                case WITHDRAWN -> Viewer.End.LEFT;
                default -> Viewer.End.BOX_LOST;
              });
    }
  }

  Ending unanswered(Held vw, int tuneIn) {
    for (ServerConnection w : connections) {
      Moment writtenAt = w.writtenAt(vw, tuneIn);
      if (writtenAt != null) {
        return silence(writtenAt, null);
      }
    }
    return Ending.NO_ANSWER;
  }

  /**
   * What it means that nothing came of something written then; one connection, if any, has just
   * broken.
   */
  Ending silence(Moment writtenAt, ServerConnection but) {
    return TimeoutCause.outcome(
        writtenAt,
        front().lag(),
        front().now(),
        connections.stream()
            .filter(w -> w != but && w.isUp())
            .map(ServerConnection::line)
            .toList());
  }

  /** The viewing of that id that plays here, or null. */
  Held playing(long id) {
    ClientSession seat = standing.get(id);
    return seat == null ? null : seat.held();
  }

  /**
   * Of its connections that take nothing new and the given one, the one with the fewest viewings.
   */
  ServerConnection leastRetired(ServerConnection least) {
    for (ServerConnection w : connections) {
      if (w.isRetired()
          && w.load() == 0
          && (least == null || w.line().sessionCount() < least.line().sessionCount())) {
        least = w;
      }
    }
    return least;
  }

  void reported(ServerLineCodec.Load load) {
    if (load != null) {
      front().desk().reported(box, load.linkAsked(), load.uplinkAsked(), load.streams());
    }
  }

  /* ---- time ---- */

  private void tryUnsent(Moment now) {
    if (!now.before(nextUnsentTry) && now.since(unsentSince).under(UNSENT_TRIED_FOR)) {
      nextUnsentTry = now.plus(UNSENT_TRIED_EVERY);
      open();
    }
  }

  /** True once nothing is left of it. */
  boolean look(Moment now) {
    if (box.state() == BoxTable.State.GONE) {
      lost("gone from the list");
      unsent.clear();
      List.copyOf(connections).forEach(w -> w.close("its box has gone"));
      return connections.isEmpty();
    }
    earlyEnds.expire(now);
    int usable = 0;
    boolean coming = false;
    // The end of a viewing without a connection of its own may come on any that is open.
    boolean spareRests = standing.values().stream().allMatch(seat -> seat.wire() != null);
    for (ServerConnection w : List.copyOf(connections)) {
      w.look(
          now,
          usable == 0
              ? front().briefing().restingClosed().times(0.8)
              : spareRests ? SPARE_RESTS : Span.NONE);
      usable += w.isRetired() ? 0 : 1;
      coming |= !w.isUp();
    }
    if (!unsent.isEmpty() && connections.isEmpty()) {
      tryUnsent(now);
    }
    if (!standing.isEmpty() && !coming) {
      if (usable > 0 && reach.needsTest(now)) {
        leastLoaded(0).ask(links.testId());
      }
      if (reach.needsConnection(usable, now)) {
        open();
      }
      if (reach.isLost(now)) {
        lost("out of reach");
      }
    }
    return false;
  }
}
