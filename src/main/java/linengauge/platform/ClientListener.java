package linengauge.platform;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import linengauge.Moment;
import linengauge.PackageTerms;
import linengauge.Span;
import linengauge.platform.codec.SetUpRequest;
import linengauge.platform.codec.TextFormat;
import linengauge.platform.connection.AcceptBacklog;
import linengauge.platform.connection.IdleConnectionReaper;
import linengauge.platform.connection.IdleTracker;
import linengauge.session.Held;

/**
 * Where viewers connect: ids to viewings, and what is owed to viewers whose connection has gone.
 */
final class ClientListener {
  /** Bytes that may wait for a viewer that does not read. */
  static final int MOST_UNREAD = 64 * 1024;

  /**
   * Bytes of set-ups that wait on one connection, and on all; what passes it is turned away at
   * once.
   */
  static final int MOST_KEPT = 48 * 1024;

  private static final int MOST_KEPT_IN_ALL = 4 * 1024 * 1024;
  private static final long LONGEST_PATIENCE_MS = 600_000;
  private static final Span SIGN = Span.ofMillis(2200);
  private static final Span RELEASE_KEPT = Span.ofSeconds(8);

  /** As many as the library's loop takes from the listener in one turn. */
  private static final int TAKEN_A_TURN = 16;

  /** As many as can stand at once. */
  private static final int MOST_RELEASES = 8192;

  private record Release(long id, boolean cut, Moment until) {}

  private final PlatformFront front;
  private final IdleConnectionReaper idle;
  private final AcceptBacklog backlog;

  /** Viewings by their ids on the wire; each leaves with its refusal or its end. */
  private final Map<Long, ClientSession> seats = new HashMap<>();

  private final Set<ClientConnection> lines = new LinkedHashSet<>();

  /**
   * Set-ups that have come and are not begun, by id; each leaves as it is begun, ended or dropped.
   */
  private final Map<Long, ClientConnection> queued = new HashMap<>();

  private int kept;
  private boolean makesPlace;

  /**
   * Ends that no connection was there for; bounded, and emptied by the next connection or by time.
   */
  private final ArrayDeque<Release> releases = new ArrayDeque<>();

  ClientListener(PlatformFront front, int places) {
    this.front = front;
    this.idle = new IdleConnectionReaper(new IdleConnectionReaper.Limits(places, SIGN));
    this.backlog = new AcceptBacklog(TAKEN_A_TURN, front.now());
  }

  PlatformFront front() {
    return front;
  }

  int viewings() {
    return seats.size();
  }

  /** Ends that wait for a connection on which they can be told. */
  int untold() {
    return releases.size();
  }

  int connections() {
    return lines.size();
  }

  void log(String kind, Object about, String detail) {
    front.log(kind, about, detail);
  }

  void arrived(Net.Connection socket) {
    backlog.onAccepted();
    ClientConnection line = new ClientConnection(this, socket, backlog.earliestArrival());
    lines.add(line);
    line.idle(idle.add(() -> line.close("idle, or its place is wanted"), line::rests, front.now()));
    makePlace();
  }

  /**
   * Where there are more than there are places some are closed, but only once the loop has read
   * what everybody sent: a set-up that lies unread on a connection that seems to rest would be lost
   * with it.
   */
  private void makePlace() {
    if (!makesPlace && idle.isOverLimit()) {
      makesPlace = true;
      front.later(
          () ->
              front.whenRead(
                  () -> {
                    makesPlace = false;
                    if (idle.evictExcess() > 0) {
                      log("no place for a viewer", null, "");
                    }
                  }));
    }
  }

  void left(ClientConnection line, IdleTracker one) {
    lines.remove(line);
    idle.remove(one);
  }

  void queued(long id, ClientConnection by) {
    queued.putIfAbsent(id, by);
  }

  void unqueued(long id, ClientConnection by) {
    queued.remove(id, by);
  }

  /** The front ends: what became of every request that still waits is logged. */
  void logWaiting() {
    for (ClientSession seat : seats.values()) {
      if (seat.asker() != null) {
        seat.logHeld();
      }
    }
  }

  /** The front ends: whatever waits for its turn is begun, on every connection. */
  void beginAll() {
    new LinkedHashSet<>(queued.values()).forEach(ClientConnection::beginAll);
  }

  void keeps(int more) {
    kept += more;
  }

  boolean mayKeep(int more) {
    return kept + more <= MOST_KEPT_IN_ALL;
  }

  /** One is turned away before it is taken; returns when to come back. */
  Span turnedAway() {
    return front.desk().turnedAway();
  }

  /** The loop's beat. */
  void beat(Moment now) {
    backlog.tick(now);
  }

  void look(Moment now) {
    idle.closeOverdue(now);
    while (!releases.isEmpty() && releases.peek().until().before(now)) {
      releases.poll();
    }
  }

  /* ---- what viewers say ---- */

  void setUp(ClientConnection line, long id, SetUpRequest form) {
    int pack = front.briefing().packages().indexOf(form.packageName());
    int cells = front.briefing().headend().fleet().cells();
    int rungs = front.briefing().headend().ladderKb().length;
    boolean handedOver = form.serverName() != null;
    if (pack < 0
        || !within(form.firstCell(), cells)
        || !within(form.cellsInRow(), cells + 1L)
        || !within(form.ceiling(), rungs)
        || handedOver && TextFormat.parseServerId(form.serverName()) < 0
        || !handedOver && (form.timeLeftMs() <= 0 || form.timeLeftMs() > LONGEST_PATIENCE_MS)) {
      line.onUnusable(
          id,
          "unknown package or a figure out of range: "
              + form.packageName()
              + " "
              + form.firstCell()
              + " "
              + form.cellsInRow()
              + " "
              + form.ceiling()
              + " "
              + form.timeLeftMs()
              + " "
              + form.serverName());
      return;
    }
    ClientSession before = seats.get(id);
    if (before != null) {
      again(line, before, handedOver);
      return;
    }
    PackageTerms terms = front.briefing().headend().packages().get(pack);
    int ceiling = form.ceiling() < 0 ? terms.highestRung() : (int) form.ceiling();
    var ask =
        new Held.Ask(
            form.title(),
            (int) Math.max(0, form.firstCell()),
            (int) Math.max(0, form.cellsInRow()),
            pack,
            terms,
            ceiling,
            Span.ofMillis(Math.max(0, form.timeLeftMs())).minus(line.lain()),
            null);
    if (handedOver) {
      line.viewers();
      ClientSession seat = new ClientSession(this, id, form.packageName(), null, null, front.now());
      seats.put(id, seat);
      line.home(seat);
      seat.held(front.desk().handOver(ask, TextFormat.parseServerId(form.serverName()), seat));
      if (seat.held() != null) {
        front.boxes().stands(seat);
      }
      return;
    }
    ClientSession seat =
        new ClientSession(
            this,
            id,
            form.packageName(),
            form.description(),
            line,
            front.now().plus(ask.patience()));
    seats.put(id, seat);
    line.waits(seat);
    Held held = front.desk().take(ask, seat);
    seat.held(held);
  }

  private static boolean within(long figure, long below) {
    return figure == SetUpRequest.ABSENT || figure >= 0 && figure < below;
  }

  /**
   * An id that is in use: the viewing that has it is left alone, unless it came by the very same
   * connection.
   */
  private void again(ClientConnection line, ClientSession before, boolean handedOver) {
    if (handedOver) {
      return; // told of something held already
    }
    if (before.asker() == line) {
      line.close("two set-ups of one id");
    } else {
      line.onUnusable(before.id(), "the id of another viewing");
    }
  }

  void endedByViewer(long id) {
    ClientConnection unbegun = queued.get(id);
    if (unbegun != null) {
      unbegun.endedUnbegun(id);
    }
    ClientSession seat = seats.get(id);
    if (seat != null) {
      giveUp(seat);
    }
  }

  /** Its viewer no longer waits for it, or no longer wants it. */
  void giveUp(ClientSession seat) {
    ClientConnection line = seat.asker();
    if (line != null) {
      line.unwait(seat);
    }
    seat.unasked();
    over(seat);
    if (seat.held() != null) {
      seat.held().viewerLeft();
    }
  }

  /** Nothing is owed for it any more. */
  void over(ClientSession seat) {
    seats.remove(seat.id(), seat);
  }

  /* ---- what viewers are told ---- */

  /**
   * A viewing that played is over: its viewer is told on its own connection, or else on any of a
   * viewer's.
   */
  void release(long id, boolean cut, ClientConnection home) {
    if (home != null && home.isOpen() && home.release(id, cut)) {
      return;
    }
    for (ClientConnection l : lines) {
      if (l != home && l.isOpen() && l.isViewers() && l.release(id, cut)) {
        return;
      }
    }
    if (releases.size() == MOST_RELEASES) {
      releases.poll();
    }
    releases.add(new Release(id, cut, front.now().plus(RELEASE_KEPT)));
  }

  /** A connection has shown itself to be viewers': what waited for one is told on it. */
  void viewers(ClientConnection line) {
    while (!releases.isEmpty() && line.release(releases.peek().id(), releases.peek().cut())) {
      releases.poll();
    }
  }
}
