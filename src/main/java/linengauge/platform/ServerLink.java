package linengauge.platform;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import linengauge.Environment.AttemptOutcome;
import linengauge.Moment;
import linengauge.Span;
import linengauge.platform.codec.ServerLineCodec;
import linengauge.platform.codec.TextFormat;
import linengauge.platform.connection.CloseCause;
import linengauge.platform.connection.EarlyEnds;
import linengauge.platform.connection.ReachabilityDetector;
import linengauge.platform.connection.ServerIncarnation;
import linengauge.platform.connection.TimeoutCause;
import linengauge.session.BoxTable;
import linengauge.session.Session;
import linengauge.session.Viewer;

/** One media server: its connections, and the sessions established at it. */
final class ServerLink {
  private static final int MAX_CONNECTIONS = 4;
  private static final int MAX_EARLY_ENDS = 256;

  /** As long as the platform allows a front for the release of a session that has ended. */
  private static final Span EARLY_END_RETENTION = Span.ofSeconds(8);

  /** Longer than a message on one connection can lag behind a later one on another. */
  private static final Span END_REPEAT_DELAY = Span.ofSeconds(1);

  /** Connections beyond the first are closed when they have been idle this long. */
  private static final Span SPARE_IDLE_LIMIT = Span.ofSeconds(4);

  private final ServerLinks links;
  private final BoxTable.Entry server;
  private final ReachabilityDetector reachability;
  private final ServerIncarnation incarnation = new ServerIncarnation();
  private final List<ServerConnection> connections = new ArrayList<>();
  private final SilenceMonitor silence = new SilenceMonitor(connections);
  private final EarlierProcess earlierProcess = new EarlierProcess(connections);
  private final ConnectionChoice choice = new ConnectionChoice(connections);

  /** Sessions established at the server; each is removed with its end. */
  private final Map<Long, ClientSession> sessions = new LinkedHashMap<>();

  private final EarlyEnds earlyEnds = new EarlyEnds(MAX_EARLY_ENDS, EARLY_END_RETENTION);

  private final UnsentMessages unsentMessages = new UnsentMessages();

  ServerLink(ServerLinks links, BoxTable.Entry server) {
    this.links = links;
    this.server = server;
    this.reachability =
        new ReachabilityDetector(ReachabilityDetector.Settings.PLATFORM, links.front().now());
    this.incarnation.onListed(server.startedAt(), links.front().now());
  }

  BoxTable.Entry server() {
    return server;
  }

  ServerLinks links() {
    return links;
  }

  private PlatformFront front() {
    return links.front();
  }

  /* ---- calls of the core ---- */

  void startAttempt(Session session, int attempt) {
    long id = ((ClientSession) session.viewer()).id();
    ServerConnection connection = connectionForAttempt(id);
    if (connection == null || connection.hasUsed(id)) {
      front().defer(() -> session.setUpFailed(attempt, AttemptOutcome.NEVER_SENT));
    } else {
      connection.startAttempt(session, attempt);
    }
  }

  /** A test written behind the end shows, once it is answered, that the end has been read. */
  void requestEndConfirmation(long id) {
    for (ServerConnection connection : connections) {
      if (connection.awaitsConfirmation(id)) {
        connection.sendConfirmationTest(links.nextTestId());
      }
    }
  }

  void probe() {
    ServerConnection connection = connectionForAttempt(0);
    if (connection == null) {
      front().defer(() -> front().sessionManager().probeCompleted(server, false));
    } else {
      connection.sendTest(links.nextTestId());
    }
  }

  void sendRung(ClientSession clientSession, int rung) {
    send(clientSession, ServerLineCodec.encodeRung(clientSession.id(), rung));
  }

  void cancel(Session session, int attempt) {
    ClientSession clientSession = (ClientSession) session.viewer();
    for (ServerConnection connection : List.copyOf(connections)) {
      if (connection.cancel(session, attempt)) {
        return;
      }
    }
    // No end is sent for an attempt that was never written.
    if (removeSession(clientSession.id()) == null) {
      return;
    }
    if (reachability.isLost(front().now())) {
      // The session may go on, and the server be reached again.
      addUnsent(ServerLineCodec.encodeEnd(clientSession.id()));
    } else {
      sendEnd(clientSession);
    }
  }

  void adopt(ClientSession clientSession) {
    sessions.put(clientSession.id(), clientSession);
    clientSession.setServerSeenAt(front().createdAt());
    if (incarnation.hasOutlived(clientSession.serverSeenAt())) {
      front().defer(() -> endSessionsOfEarlierProcess());
      return;
    }
    AttemptOutcome outcome = earlyEnds.take(clientSession.id());
    if (outcome != null) {
      front().defer(() -> sessionEnded(clientSession.id(), outcome, null));
      return;
    }
    if (connections.isEmpty() && mayDialForSessions()) {
      openConnection();
    }
  }

  /** Whether a session here counts; what does not count gives way where connections are scarce. */
  private boolean hasCountedSessions() {
    for (ClientSession clientSession : sessions.values()) {
      if (clientSession.session().isCounted()) {
        return true;
      }
    }
    return false;
  }

  private boolean mayDialForSessions() {
    return links.hasRoomForUncounted() || hasCountedSessions();
  }

  /**
   * Sends a message about an established session. Messages keep their order on one connection, but
   * not across two, so all of them use the connection of the session's set-up as long as it is
   * usable, and then another one in the same way.
   */
  private void send(ClientSession clientSession, byte[] message) {
    ServerConnection connection = connectionOf(clientSession);
    if (connection != null) {
      connection.write(message);
    } else {
      sendOnNextConnection(message);
    }
  }

  private void sendEnd(ClientSession clientSession) {
    ServerConnection connection = connectionOf(clientSession);
    if (connection != null) {
      connection.sendEnd(clientSession.id());
    } else {
      sendOnNextConnection(ServerLineCodec.encodeEnd(clientSession.id()));
    }
  }

  /**
   * A retired connection is still better than none: the message may be read once the network works
   * again.
   */
  private ServerConnection connectionOf(ClientSession clientSession) {
    if (choice.isUsable(clientSession.lastUsedConnection())) {
      return clientSession.lastUsedConnection();
    }
    ServerConnection latest = choice.latestHeard(null);
    if (latest != null
        || clientSession.lastUsedConnection() == null
        || !clientSession.lastUsedConnection().isUp()) {
      clientSession.setLastUsedConnection(latest);
    }
    return clientSession.lastUsedConnection();
  }

  private void sendOnNextConnection(byte[] message) {
    if (server.state() == BoxTable.State.GONE) {
      return; // nobody is there to receive it
    }
    addUnsent(message);
    if (connections.isEmpty()) {
      openConnection();
    }
  }

  /**
   * A connection has closed under an attempt. Its server may have answered meanwhile: then it holds
   * a session that belongs to no connection and to no client. So the end is sent on another
   * connection, or on the next one that is established; and once more later, as the first end may
   * overtake the set-up.
   */
  void sendEndAfterClose(long id) {
    sendEndElsewhere(id);
    front().schedule(END_REPEAT_DELAY, () -> sendEndElsewhere(id));
  }

  private void sendEndElsewhere(long id) {
    sendEndExceptOn(null, id);
  }

  private void sendEndExceptOn(ServerConnection excluded, long id) {
    ServerConnection connection = choice.latestHeard(excluded);
    if (connection != null) {
      connection.write(ServerLineCodec.encodeEnd(id));
    } else if (server.state() != BoxTable.State.GONE) {
      addUnsent(ServerLineCodec.encodeEnd(id));
    }
  }

  /** The server has not read an end; it is not sent again if the id is in use again. */
  private void resendEnd(long id, ServerConnection unread) {
    boolean inUse =
        sessions.containsKey(id)
            || connections.stream().anyMatch(connection -> connection.hasOpenAttempt(id));
    if (!inUse) {
      sendEndExceptOn(unread, id);
    }
  }

  private void addUnsent(byte[] message) {
    unsentMessages.add(message, front().now());
  }

  /**
   * A connection for one more attempt or test: one with none open, else a new one, else the one
   * with the fewest.
   */
  private ServerConnection connectionForAttempt(long id) {
    ServerConnection least = choice.leastLoaded(id);
    if (least != null
        && (least.openCount() == 0 && !least.hasUsed(id)
            || choice.takingAttempts() >= MAX_CONNECTIONS)) {
      return least;
    }
    ServerConnection opened = openConnection();
    return opened == null ? least : opened;
  }

  private ServerConnection openConnection() {
    String address = server.address();
    if (address == null
        || Configuration.port(address) < 0
        || server.state() == BoxTable.State.GONE
        || !links.reserveConnection()
            && !(links.closeLeastNeededConnection() && links.reserveConnection())) {
      return null;
    }
    ServerConnection connection = new ServerConnection(this, address, reachability.missCount());
    connections.add(connection);
    links.setConnected(this, true);
    connection.connect();
    return connection;
  }

  /* ---- events of the connections ---- */

  void connectionUp(ServerConnection connection) {
    if (reachability.isUnreachable()) {
      earlierProcess.doubt(reachability.failedSince(), links::nextTestId);
    }
    reachability.onReceived(front().now());
    unsentMessages.sendOn(connection);
    boolean mustBeHeard = reachability.hasReportsMissed() || silence.isTestUnanswered();
    if (!sessions.isEmpty() && mustBeHeard) {
      connection.sendLivenessTest(links.nextTestId());
    }
  }

  void dataReceived(ServerConnection connection) {
    earlierProcess.onReceived(connection);
    reachability.onReceived(front().now());
    reachability.onHeard(connection.missesBeforeDial());
  }

  /**
   * A connection has closed, or was not established. If this front closed it as it was idle, the
   * server has nothing left to send: no established session was set up on it, and a session without
   * a connection of its own keeps all connections open ({@link #sweep}).
   */
  void connectionClosed(ServerConnection connection, CloseCause cause) {
    connections.remove(connection);
    links.setConnected(this, !connections.isEmpty());
    links.releaseConnection();
    for (ClientSession clientSession : sessions.values()) {
      if (clientSession.serverConnection() == connection) {
        clientSession.setServerConnection(null);
      }
      if (clientSession.lastUsedConnection() == connection) {
        clientSession.setLastUsedConnection(null);
      }
    }
    boolean isLastOne = connections.stream().noneMatch(ServerConnection::isUp);
    switch (cause) {
      case BY_SERVER -> {
        reachability.onReportsMissed();
        Moment outage = reachability.isUnreachable() ? reachability.failedSince() : null;
        Moment gone = earlierProcess.onClosedByServer(connection, outage);
        if (gone != null) {
          sessionsLost("reset after an outage", sessionsSeenBefore(gone));
        }
      }
      case BY_FRONT -> reachability.onReportsMissed();
      case NOT_REACHED -> reachability.onConnectFailed(front().now());
      case REFUSED -> {
        reachability.onConnectFailed(front().now());
        if (isLastOne) {
          // Nothing listens there: the server's process has died, and its sessions with it. If
          // another connection is up, the process lives and has no room for more; had it died, that
          // connection would close now, and the next one dialled would be refused.
          serverLost("refused");
        }
      }
      case IDLE -> {
        // nothing was left to be sent
      }
      default -> throw new IllegalStateException(cause.name());
    }
  }

  /**
   * Discovery may have listed a new start of the server's process. The connections to the earlier
   * process are closed, as they may stay open and silent; its sessions died with it.
   */
  private void checkRestart(Moment now) {
    if (!incarnation.onListed(server.startedAt(), now)) {
      return;
    }
    for (ServerConnection connection : List.copyOf(connections)) {
      if (connection.isUp() && incarnation.hasOutlived(connection.usage().upAt())) {
        connection.close("its server has restarted");
      }
    }
    endSessionsOfEarlierProcess();
  }

  /** The server may have been listed with another address: what leads to the former is closed. */
  private void closeConnectionsToOtherAddresses() {
    for (ServerConnection connection : List.copyOf(connections)) {
      if (!connection.address().equals(server.address())) {
        connection.close("its server has another address");
      }
    }
  }

  private void endSessionsOfEarlierProcess() {
    List<ClientSession> lost =
        sessions.values().stream()
            .filter(clientSession -> incarnation.hasOutlived(clientSession.serverSeenAt()))
            .toList();
    if (lost.isEmpty()) {
      return;
    }
    warnSessionsLost("restarted", lost.size());
    for (ClientSession clientSession : lost) {
      removeSession(clientSession.id()); // The new process knows nothing of it: no end is sent.
      clientSession.session().boxLost();
    }
  }

  private void warnSessionsLost(String reason, int count) {
    front()
        .warn(
            "server lost",
            TextFormat.formatServerId(server.id()),
            reason + ", " + count + " sessions");
  }

  private void serverLost(String reason) {
    sessionsLost(reason, List.copyOf(sessions.values()));
  }

  private List<ClientSession> sessionsSeenBefore(Moment moment) {
    return sessions.values().stream()
        .filter(clientSession -> clientSession.serverSeenAt().isBefore(moment))
        .toList();
  }

  private void sessionsLost(String reason, List<ClientSession> lost) {
    if (!lost.isEmpty()) {
      warnSessionsLost(reason, lost.size());
      for (ClientSession clientSession : lost) {
        clientSession.session().boxLost(); // also cancelled at the server, which ends it here
        removeSession(clientSession.id());
      }
      front().sessionManager().contactLost(server);
    }
  }

  /* ---- messages from the server ---- */

  void sessionEstablished(ClientSession clientSession, ServerConnection connection) {
    sessions.put(clientSession.id(), clientSession);
    clientSession.setServerConnection(connection);
    clientSession.setLastUsedConnection(connection);
    clientSession.setServerSeenAt(connection.usage().upAt());
    connection.usage().addSessions(1);
  }

  /** Removes an established session, for whatever reason; null if there is none with that id. */
  private ClientSession removeSession(long id) {
    ClientSession clientSession = sessions.remove(id);
    if (clientSession != null && clientSession.serverConnection() != null) {
      clientSession.serverConnection().usage().addSessions(-1);
      clientSession.setServerConnection(null);
    }
    return clientSession;
  }

  /**
   * The server reports on that connection (null: before the session was handed over) that an
   * attempt or a session has ended.
   */
  void sessionEnded(long id, AttemptOutcome outcome, ServerConnection connection) {
    ClientSession current = sessions.get(id);
    if (connection != null
        && connection.hasUsed(id)
        && current != null
        && current.serverConnection() != null
        && current.serverConnection() != connection) {
      // The end of an earlier attempt: a server sends messages about a session on the connection of
      // its set-up while that is open.
      return;
    }
    ClientSession clientSession = removeSession(id);
    if (clientSession == null) {
      earlyEnds.add(id, outcome, front().now());
    } else {
      clientSession
          .session()
          .boxEnded(
              outcome,
              switch (outcome) {
                case FINISHED -> Viewer.EndReason.OVER;
                case WITHDRAWN -> Viewer.EndReason.LEFT;
                default -> Viewer.EndReason.BOX_LOST;
              });
    }
  }

  AttemptOutcome timeoutOutcome(Session session, int attempt) {
    for (ServerConnection connection : connections) {
      Moment writtenAt = connection.writtenAt(session, attempt);
      if (writtenAt != null) {
        return silenceOutcome(writtenAt, null);
      }
    }
    return AttemptOutcome.NO_ANSWER;
  }

  /**
   * What it means that nothing was received for something written at that moment; the excluded
   * connection, if any, has just closed.
   */
  AttemptOutcome silenceOutcome(Moment writtenAt, ServerConnection excluded) {
    return TimeoutCause.outcome(
        writtenAt,
        front().lag(),
        front().now(),
        connections.stream()
            .filter(connection -> connection != excluded && connection.isUp())
            .map(ServerConnection::usage)
            .toList());
  }

  /** The established session with that id, or null. */
  Session establishedSession(long id) {
    ClientSession clientSession = sessions.get(id);
    return clientSession == null ? null : clientSession.session();
  }

  ConnectionChoice choice() {
    return choice;
  }

  /** A connection without open attempts that is kept for sessions alone which do not count. */
  ServerConnection connectionOfUncounted() {
    return sessions.isEmpty() || hasCountedSessions() ? null : choice.firstWithoutAttempts();
  }

  void reported(ServerLineCodec.Load load) {
    if (load != null) {
      front()
          .sessionManager()
          .loadReported(server, load.linkAsked(), load.uplinkAsked(), load.streams());
    }
  }

  /* ---- periodic checks ---- */

  /**
   * Tests the connections on which the server may report, and reveals those that carry nothing any
   * more although it is heard on others.
   */
  private void checkSilence(boolean anyMayReport, Moment now) {
    silence.judge(now);
    for (ServerConnection connection : List.copyOf(connections)) {
      connection.takeUnreadEnds(now).forEach(id -> resendEnd(id, connection));
    }
    boolean isTested = silence.testSilent(anyMayReport, links::nextTestId, now);
    ServerConnection untested = silence.findUntested();
    if (untested != null && !isTested && !sessions.isEmpty() && reachability.needsTest(now)) {
      untested.sendLivenessTest(links.nextTestId());
    }
    if (silence.needsNewConnection(now) && !reachability.hasReportsMissed()) {
      silence.closeSpareConnection(MAX_CONNECTIONS);
      reachability.onReportsMissed();
    }
  }

  /** Checks the connections and the server; true once nothing is left of it. */
  boolean sweep(Moment now) {
    if (server.state() == BoxTable.State.GONE) {
      serverLost(server.isReplaced() ? "replaced at its address" : "removed from discovery");
      unsentMessages.clear();
      List.copyOf(connections).forEach(connection -> connection.close("its server was removed"));
      return connections.isEmpty();
    }
    checkRestart(now);
    closeConnectionsToOtherAddresses();
    earlyEnds.expire(now);
    int usableCount = 0;
    boolean connecting = false;
    // The end of a session without a connection of its own may arrive on any open connection.
    boolean mayCloseSpare =
        sessions.values().stream()
            .allMatch(clientSession -> clientSession.serverConnection() != null);
    for (ServerConnection connection : List.copyOf(connections)) {
      connection.sweep(
          now,
          usableCount == 0
              ? front().settings().idleCloseAfter().times(0.8)
              : mayCloseSpare ? SPARE_IDLE_LIMIT : Span.NONE);
      usableCount += connection.isRetired() ? 0 : 1;
      connecting |= !connection.isUp();
    }
    if (connections.isEmpty() && unsentMessages.mustDial(now)) {
      openConnection();
    }
    checkSilence(!mayCloseSpare, now);
    if (!sessions.isEmpty() && !connecting) {
      if (!silence.awaitsFirstReceived(reachability.missCount(), now)
          && reachability.needsConnection(usableCount, now)
          && mayDialForSessions()) {
        openConnection();
      }
      if (reachability.isLost(now)) {
        serverLost("unreachable");
      }
    }
    return false;
  }
}
