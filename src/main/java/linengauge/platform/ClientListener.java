package linengauge.platform;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import linengauge.Moment;
import linengauge.PackageSettings;
import linengauge.Span;
import linengauge.platform.codec.SetUpRequest;
import linengauge.platform.codec.TextFormat;
import linengauge.platform.connection.AcceptBacklog;
import linengauge.platform.connection.HeapBudget;
import linengauge.platform.connection.IdleConnectionReaper;
import linengauge.platform.connection.IdleTracker;
import linengauge.session.Session;

/**
 * Accepts the connections of clients, finds sessions by their ids, and keeps the releases that are
 * owed to clients whose connection has closed.
 */
final class ClientListener {
  /** Bytes that may wait for a client that does not read. */
  static final int WRITE_BUFFER_BYTES = 64 * 1024;

  /**
   * Heap that the data received from all clients, their queued and their open requests may occupy
   * together; with the idle connections and the server list it fits into the heap of the run
   * command.
   */
  private static final long MAX_REQUEST_HEAP_BYTES = 3L * 1024 * 1024;

  private static final long MAX_TIME_LIMIT_MS = 600_000;

  /**
   * A connection is closed if it is idle and nothing has been answered on it for this long after it
   * was accepted, or if a message on it stays incomplete for this long.
   */
  private static final Span FIRST_REQUEST_TIME_LIMIT = Span.ofMillis(2200);

  /** As many as the library's event loop accepts in one iteration. */
  private static final int ACCEPTS_PER_ITERATION = 16;

  /**
   * Sessions are handed over to a front that has started, together with the first requests. Later,
   * what a client says to play is believed only once its server has reported on it.
   */
  private static final Span HAND_OVER_SPAN = Span.ofSeconds(5);

  private final PlatformFront front;
  private final IdleConnectionReaper idleConnections;
  private final AcceptBacklog backlog;

  /** Sessions by their ids on the wire; each is removed with its rejection or its end. */
  private final Map<Long, ClientSession> sessions = new HashMap<>();

  private final Set<ClientConnection> connections = new LinkedHashSet<>();

  /**
   * Connections with a received request that is not started, by the request's id; removed when it
   * is started, ended or dropped.
   */
  private final Map<Long, ClientConnection> queuedRequests = new HashMap<>();

  private final HeapBudget requestHeap = new HeapBudget(MAX_REQUEST_HEAP_BYTES);
  private boolean closingScheduled;

  /** When the first usable request was started; null before. */
  private Moment firstRequestAt;

  private final PendingReleases pendingReleases = new PendingReleases();

  ClientListener(PlatformFront front, int maxConnections) {
    this.front = front;
    this.idleConnections =
        new IdleConnectionReaper(
            new IdleConnectionReaper.Limits(maxConnections, FIRST_REQUEST_TIME_LIMIT));
    this.backlog = new AcceptBacklog(ACCEPTS_PER_ITERATION, front.now());
  }

  PlatformFront front() {
    return front;
  }

  int sessionCount() {
    return sessions.size();
  }

  /** Releases that wait for a connection on which they can be sent. */
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
    backlog.onAccepted();
    ClientConnection connection = new ClientConnection(this, socket, backlog.earliestArrival());
    connections.add(connection);
    connection.setIdleState(
        idleConnections.add(
            () -> connection.close("idle, or connection limit reached"),
            connection::isIdle,
            front.now()));
    closeExcessConnections();
  }

  /**
   * Closes connections if there are more than the limit, but only once the loop has read what all
   * clients have sent: an unread request on a connection that seems idle would be lost with it.
   */
  private void closeExcessConnections() {
    if (!closingScheduled && idleConnections.isOverLimit()) {
      closingScheduled = true;
      front.defer(
          () ->
              front.runOnceCaughtUp(
                  () -> {
                    closingScheduled = false;
                    if (idleConnections.evictExcess() > 0) {
                      warn("connection limit reached with requests open", null, "");
                    }
                  }));
    }
  }

  void connectionClosed(ClientConnection connection, IdleTracker idleState) {
    connections.remove(connection);
    idleConnections.remove(idleState);
  }

  void requestQueued(long id, ClientConnection connection) {
    queuedRequests.putIfAbsent(id, connection);
  }

  void requestDequeued(long id, ClientConnection connection) {
    queuedRequests.remove(id, connection);
  }

  /** The front stops: logs what happened to every request that is still open. */
  void logOpenRequests() {
    for (ClientSession session : sessions.values()) {
      if (session.requester() != null) {
        session.flushLog();
      }
    }
  }

  /** The front stops: starts all requests that still wait, on every connection. */
  void startAllQueued() {
    new LinkedHashSet<>(queuedRequests.values()).forEach(ClientConnection::startAllQueued);
  }

  /** The heap occupied by what clients have sent. */
  HeapBudget requestHeap() {
    return requestHeap;
  }

  /** Counts a request that is rejected before it reaches the core; returns when to retry. */
  Span recordRejection() {
    return front.sessionManager().rejectForCapacity();
  }

  /** To be called on each tick of the event loop. */
  void tick(Moment now) {
    backlog.tick(now);
  }

  void sweep(Moment now) {
    idleConnections.closeOverdue(now);
    connections.forEach(connection -> connection.expireSentReleases(now));
    pendingReleases.expire(now);
  }

  /* ---- messages from clients ---- */

  void handleRequest(ClientConnection connection, long id, SetUpRequest form) {
    int packageIndex = front.settings().packageNames().indexOf(form.packageName());
    boolean isHandOver = form.serverName() != null;
    if (packageIndex < 0 || !hasValidFigures(form) || !isComplete(form, isHandOver)) {
      connection.onUnusable(
          id,
          "unknown package or value out of range: "
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
    if (firstRequestAt == null) {
      firstRequestAt = front.now();
    }
    ClientSession existing = sessions.get(id);
    if (existing != null) {
      handleDuplicateId(connection, existing, isHandOver);
      return;
    }
    PackageSettings packageSettings = front.settings().deployment().packages().get(packageIndex);
    int ceiling = form.ceiling() < 0 ? packageSettings.highestRung() : (int) form.ceiling();
    var request =
        new Session.SessionRequest(
            form.title(),
            (int) Math.max(0, form.firstCell()),
            (int) Math.max(0, form.cellsInRow()),
            packageIndex,
            packageSettings,
            ceiling,
            Span.ofMillis(Math.max(0, form.timeLeftMs())).minus(connection.maxQueueingDelay()),
            null);
    if (isHandOver) {
      adopt(connection, id, request, form);
      return;
    }
    if (front.serverLinks().hasSent(id)) {
      connection.onUnusable(id, "the id of an earlier request");
      return;
    }
    if (!connection.hasRoomForRequest(form.description().length())) {
      connection.reject(id);
      return;
    }
    ClientSession session =
        new ClientSession(
            this,
            id,
            form.packageName(),
            form.description(),
            connection,
            front.now().plus(request.timeLimit()));
    sessions.put(id, session);
    connection.addUnanswered(session);
    Session coreSession = front.sessionManager().accept(request, session);
    session.setSession(coreSession);
  }

  private void adopt(
      ClientConnection connection, long id, Session.SessionRequest request, SetUpRequest form) {
    ClientSession session =
        new ClientSession(this, id, form.packageName(), null, null, front.now());
    sessions.put(id, session);
    connection.setAsOriginOf(session);
    Moment arrivedAt = front.now().minus(connection.maxQueueingDelay());
    boolean isExpected = arrivedAt.isBefore(firstRequestAt.plus(HAND_OVER_SPAN));
    Session coreSession =
        front
            .sessionManager()
            .adopt(request, TextFormat.parseServerId(form.serverName()), session, isExpected);
    session.setSession(coreSession);
    if (coreSession != null && coreSession.isCounted()) {
      connection.markUsedByViewer();
    } else {
      connection.markUsedByUnknown();
    }
    if (coreSession != null) {
      front.serverLinks().adopt(session);
    }
  }

  private boolean hasValidFigures(SetUpRequest form) {
    int cellCount = front.settings().deployment().fleet().cellCount();
    int rungCount = front.settings().deployment().ladderKbPerSecond().length;
    return isAbsentOrBelow(form.firstCell(), cellCount)
        && isAbsentOrBelow(form.cellsInRow(), cellCount + 1L)
        && isAbsentOrBelow(form.ceiling(), rungCount);
  }

  /** Whether a hand-over names its server, or a set-up a time limit and where its title is held. */
  private boolean isComplete(SetUpRequest form, boolean isHandOver) {
    if (isHandOver) {
      return TextFormat.parseServerId(form.serverName()) >= 0;
    }
    return form.timeLeftMs() > 0
        && form.timeLeftMs() <= MAX_TIME_LIMIT_MS
        && !isHeldNowhere(form, front.settings().deployment().fleet().cellCount());
  }

  private static boolean isAbsentOrBelow(long value, long limit) {
    return value == SetUpRequest.ABSENT || value >= 0 && value < limit;
  }

  /**
   * Where the servers lie in cells, a title that no cell holds cannot be set up anywhere. A request
   * that does not say how many hold its title may go to any server.
   */
  private static boolean isHeldNowhere(SetUpRequest form, int cellCount) {
    return cellCount > 0 && form.cellsInRow() == 0;
  }

  /**
   * Handles a request whose id is in use. A hand-over is ignored. Another request is rejected as
   * unusable, unless the session with that id still waits for its answer on the same connection,
   * which is closed then.
   */
  private void handleDuplicateId(
      ClientConnection connection, ClientSession existing, boolean isHandOver) {
    if (isHandOver) {
      return; // the session is known already
    }
    if (existing.requester() == connection) {
      connection.close("two requests with one id");
    } else {
      connection.onUnusable(existing.id(), "the id of another session");
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

  /** The client no longer waits for the session, or no longer wants it. */
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

  /** Removes a session for which nothing is owed to its client any more. */
  void remove(ClientSession session) {
    sessions.remove(session.id(), session);
  }

  /* ---- messages to clients ---- */

  /**
   * Sends the release of an established session on the connection by which it came, or else on any
   * other of a viewer. If there is none, it is sent on a connection whose requests have all been
   * refused, and kept: who holds that one open may view nothing.
   */
  void sendRelease(long id, boolean interrupted, ClientConnection origin) {
    if (origin != null && origin.isOpen() && origin.sendRelease(id, interrupted)
        || sendReleaseOnAny(id, interrupted, origin, ClientConnection.Use.VIEWER)) {
      return;
    }
    boolean offered = sendReleaseOnAny(id, interrupted, origin, ClientConnection.Use.UNPROVEN);
    pendingReleases.add(id, interrupted, offered, front.now());
  }

  private boolean sendReleaseOnAny(
      long id, boolean interrupted, ClientConnection excluded, ClientConnection.Use use) {
    for (ClientConnection connection : connections) {
      if (connection != excluded
          && connection.isOpen()
          && connection.use() == use
          && connection.sendRelease(id, interrupted)) {
        return true;
      }
    }
    return false;
  }

  /** The use of a connection has become known: sends the pending releases on it. */
  void sendPendingReleases(ClientConnection connection) {
    if (connection.use() == ClientConnection.Use.VIEWER) {
      pendingReleases.sendOn(connection);
    } else {
      pendingReleases.offerOn(connection);
    }
  }
}
