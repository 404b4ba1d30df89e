package linengauge.platform;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import linengauge.Moment;
import linengauge.PackageTerms;
import linengauge.Span;
import linengauge.platform.codec.SetUpForm;
import linengauge.platform.codec.Texts;
import linengauge.platform.keep.AcceptBacklog;
import linengauge.platform.keep.IdleConnection;
import linengauge.platform.keep.IdleConnections;
import linengauge.session.Held;

/**
 * Where viewers connect: ids to viewings, and what is owed to viewers whose connection has gone.
 */
final class ClientListener {
  /** Bytes that may wait for a viewer that does not read. */
  static final int WRITE_BUFFER_BYTES = 64 * 1024;

  /**
   * Bytes of set-ups that wait on one connection, and on all; what passes it is turned away at
   * once.
   */
  static final int MAX_QUEUED_BYTES_PER_CONNECTION = 48 * 1024;

  private static final int MAX_QUEUED_BYTES = 4 * 1024 * 1024;
  private static final long MAX_TIME_LIMIT_MS = 600_000;
  private static final Span FIRST_REQUEST_TIME_LIMIT = Span.ofMillis(2200);
  private static final Span RELEASE_RETENTION = Span.ofSeconds(8);

  /** As many as the library's loop takes from the listener in one turn. */
  private static final int ACCEPTS_PER_ITERATION = 16;

  /** As many as can stand at once. */
  private static final int MAX_PENDING_RELEASES = 8192;

  private record PendingRelease(long id, boolean interrupted, Moment expiresAt) {}

  private final PlatformFront front;
  private final IdleConnections idleConnections;
  private final AcceptBacklog backlog;

  /** Viewings by their ids on the wire; each leaves with its refusal or its end. */
  private final Map<Long, ClientSession> sessions = new HashMap<>();

  private final Set<ClientConnection> connections = new LinkedHashSet<>();

  /**
   * Set-ups that have come and are not begun, by id; each leaves as it is begun, ended or dropped.
   */
  private final Map<Long, ClientConnection> queuedRequests = new HashMap<>();

  private int queuedBytes;
  private boolean closingScheduled;

  /**
   * Ends that no connection was there for; bounded, and emptied by the next connection or by time.
   */
  private final ArrayDeque<PendingRelease> pendingReleases = new ArrayDeque<>();

  ClientListener(PlatformFront front, int maxConnections) {
    this.front = front;
    this.idleConnections =
        new IdleConnections(new IdleConnections.Terms(maxConnections, FIRST_REQUEST_TIME_LIMIT));
    this.backlog = new AcceptBacklog(ACCEPTS_PER_ITERATION, front.now());
  }

  PlatformFront front() {
    return front;
  }

  int sessionCount() {
    return sessions.size();
  }

  /** Ends that wait for a connection on which they can be told. */
  int pendingReleaseCount() {
    return pendingReleases.size();
  }

  int connectionCount() {
    return connections.size();
  }

  void warn(String kind, Object subject, String detail) {
    front.warn(kind, subject, detail);
  }

  void accepted(Net.Connection socket) {
    backlog.taken();
    ClientConnection connection = new ClientConnection(this, socket, backlog.cameAfter());
    connections.add(connection);
    connection.setIdleState(
        idleConnections.arrived(
            () -> connection.close("idle, or its place is wanted"),
            connection::isIdle,
            front.now()));
    closeExcessConnections();
  }

  /**
   * Where there are more than there are places some are closed, but only once the loop has read
   * what everybody sent: a set-up that lies unread on a connection that seems to rest would be lost
   * with it.
   */
  private void closeExcessConnections() {
    if (!closingScheduled && idleConnections.isOver()) {
      closingScheduled = true;
      front.defer(
          () ->
              front.runOnceCaughtUp(
                  () -> {
                    closingScheduled = false;
                    if (idleConnections.makePlace() > 0) {
                      warn("no place for a viewer", null, "");
                    }
                  }));
    }
  }

  void connectionClosed(ClientConnection connection, IdleConnection idleState) {
    connections.remove(connection);
    idleConnections.left(idleState);
  }

  void requestQueued(long id, ClientConnection connection) {
    queuedRequests.putIfAbsent(id, connection);
  }

  void requestDequeued(long id, ClientConnection connection) {
    queuedRequests.remove(id, connection);
  }

  /** The front ends: what became of every request that still waits is logged. */
  void logOpenRequests() {
    for (ClientSession session : sessions.values()) {
      if (session.requester() != null) {
        session.flushLog();
      }
    }
  }

  /** The front ends: whatever waits for its turn is begun, on every connection. */
  void startAllQueued() {
    new LinkedHashSet<>(queuedRequests.values()).forEach(ClientConnection::startAllQueued);
  }

  void addQueuedBytes(int bytes) {
    queuedBytes += bytes;
  }

  boolean hasRoomFor(int bytes) {
    return queuedBytes + bytes <= MAX_QUEUED_BYTES;
  }

  /** One is turned away before it is taken; returns when to come back. */
  Span recordRejection() {
    return front.sessionManager().turnedAway();
  }

  /** The loop's beat. */
  void tick(Moment now) {
    backlog.beat(now);
  }

  void sweep(Moment now) {
    idleConnections.look(now);
    while (!pendingReleases.isEmpty() && pendingReleases.peek().expiresAt().before(now)) {
      pendingReleases.poll();
    }
  }

  /* ---- what viewers say ---- */

  void handleRequest(ClientConnection connection, long id, SetUpForm form) {
    int packageIndex = front.settings().packages().indexOf(form.pack());
    int cellCount = front.settings().headend().fleet().cells();
    int rungCount = front.settings().headend().ladderKb().length;
    boolean isHandOver = form.at() != null;
    if (packageIndex < 0
        || !isAbsentOrBelow(form.firstCell(), cellCount)
        || !isAbsentOrBelow(form.cellsInRow(), cellCount + 1L)
        || !isAbsentOrBelow(form.ceiling(), rungCount)
        || isHandOver && Texts.box(form.at()) < 0
        || !isHandOver && (form.leftMs() <= 0 || form.leftMs() > MAX_TIME_LIMIT_MS)) {
      connection.unfit(
          id,
          "unknown package or a figure out of range: "
              + form.pack()
              + " "
              + form.firstCell()
              + " "
              + form.cellsInRow()
              + " "
              + form.ceiling()
              + " "
              + form.leftMs()
              + " "
              + form.at());
      return;
    }
    ClientSession existing = sessions.get(id);
    if (existing != null) {
      handleDuplicateId(connection, existing, isHandOver);
      return;
    }
    PackageTerms packageSettings = front.settings().headend().packages().get(packageIndex);
    int ceiling = form.ceiling() < 0 ? packageSettings.highestRung() : (int) form.ceiling();
    var request =
        new Held.Ask(
            form.title(),
            (int) Math.max(0, form.firstCell()),
            (int) Math.max(0, form.cellsInRow()),
            packageIndex,
            packageSettings,
            ceiling,
            Span.ofMillis(Math.max(0, form.leftMs())).minus(connection.maxQueueingDelay()),
            null);
    if (isHandOver) {
      connection.markUsedByClient();
      ClientSession session = new ClientSession(this, id, form.pack(), null, null, front.now());
      sessions.put(id, session);
      connection.setAsOriginOf(session);
      session.session(front.sessionManager().handOver(request, Texts.box(form.at()), session));
      if (session.session() != null) {
        front.serverLinks().adopt(session);
      }
      return;
    }
    ClientSession session =
        new ClientSession(
            this,
            id,
            form.pack(),
            form.description(),
            connection,
            front.now().plus(request.patience()));
    sessions.put(id, session);
    connection.addUnanswered(session);
    Held coreSession = front.sessionManager().take(request, session);
    session.session(coreSession);
  }

  private static boolean isAbsentOrBelow(long value, long limit) {
    return value == SetUpForm.ABSENT || value >= 0 && value < limit;
  }

  /**
   * An id that is in use: the viewing that has it is left alone, unless it came by the very same
   * connection.
   */
  private void handleDuplicateId(
      ClientConnection connection, ClientSession existing, boolean isHandOver) {
    if (isHandOver) {
      return; // told of something held already
    }
    if (existing.requester() == connection) {
      connection.close("two set-ups of one id");
    } else {
      connection.unfit(existing.id(), "the id of another viewing");
    }
  }

  void endedByClient(long id) {
    ClientConnection queuedOn = queuedRequests.get(id);
    if (queuedOn != null) {
      queuedOn.endedBeforeStart(id);
    }
    ClientSession session = sessions.get(id);
    if (session != null) {
      abandon(session);
    }
  }

  /** Its viewer no longer waits for it, or no longer wants it. */
  void abandon(ClientSession session) {
    ClientConnection connection = session.requester();
    if (connection != null) {
      connection.removeUnanswered(session);
    }
    session.clientLeft();
    remove(session);
    if (session.session() != null) {
      session.session().viewerLeft();
    }
  }

  /** Nothing is owed for it any more. */
  void remove(ClientSession session) {
    sessions.remove(session.id(), session);
  }

  /* ---- what viewers are told ---- */

  /**
   * A viewing that played is over: its viewer is told on its own connection, or else on any of a
   * viewer's.
   */
  void sendRelease(long id, boolean interrupted, ClientConnection origin) {
    if (origin != null && origin.isOpen() && origin.sendRelease(id, interrupted)) {
      return;
    }
    for (ClientConnection connection : connections) {
      if (connection != origin
          && connection.isOpen()
          && connection.isUsedByClient()
          && connection.sendRelease(id, interrupted)) {
        return;
      }
    }
    if (pendingReleases.size() == MAX_PENDING_RELEASES) {
      pendingReleases.poll();
    }
    pendingReleases.add(new PendingRelease(id, interrupted, front.now().plus(RELEASE_RETENTION)));
  }

  /** A connection has shown itself to be viewers': what waited for one is told on it. */
  void sendPendingReleases(ClientConnection connection) {
    while (!pendingReleases.isEmpty()
        && connection.sendRelease(
            pendingReleases.peek().id(), pendingReleases.peek().interrupted())) {
      pendingReleases.poll();
    }
  }
}
