package linengauge.platform;

import linengauge.Environment;
import linengauge.Moment;
import linengauge.Span;
import linengauge.platform.LogEvent.Kind;
import linengauge.platform.codec.ClientMessageCodec;
import linengauge.session.BoxTable;
import linengauge.session.Session;
import linengauge.session.Viewer;

/**
 * The client's side of one session: its id on the wire, and the connection on which its answer is
 * owed.
 */
final class ClientSession implements Viewer {
  private final ClientListener listener;
  private final long id;
  private final String packageName;

  /** Sent to the servers; null once the session is established, as it is not sent any more. */
  private String description;

  /** Null once the answer is sent, or the client no longer waits. */
  private ClientConnection requester;

  private final int descriptionLength;
  private Session session;

  /** The server's answer, which is sent to the client unchanged. */
  private byte[] answer;

  /** The connection by which the session came, for its release; it may have closed. */
  private ClientConnection origin;

  /**
   * The connection on which the session was set up, while it is established; null for one that was
   * handed over.
   */
  private ServerConnection serverConnection;

  private ServerConnection lastUsedConnection;

  /** When the server's process was running that holds the session; the latest moment known. */
  private Moment serverSeenAt;

  /** The client waits until then. */
  private final Moment answerDeadline;

  private final RequestTrail trail;

  /** The session is established, or was handed over as such. */
  private boolean established;

  ClientSession(
      ClientListener listener,
      long id,
      String packageName,
      String description,
      ClientConnection requester,
      Moment answerDeadline) {
    this.listener = listener;
    this.id = id;
    this.packageName = packageName;
    this.description = description;
    this.descriptionLength = description == null ? 0 : description.length();
    this.requester = requester;
    this.answerDeadline = answerDeadline;
    this.trail = listener.front().events().newTrail();
    this.established = description == null;
    if (!established) {
      String details =
          "class "
              + packageName
              + ", "
              + answerDeadline.since(listener.front().now()).micros() / 1000;
      log(Kind.REQUEST_TAKEN, LogEvent.NONE, LogEvent.NONE, LogEvent.NONE, details + " ms", false);
    }
  }

  /* ---- logging ---- */

  private void log(
      Kind kind, long server, int attempt, int connection, String reason, boolean notable) {
    trail.add(
        listener.front().events().requestEvent(kind, id, server, attempt, connection, reason),
        notable);
  }

  private void log(Kind kind, String reason, boolean notable) {
    log(kind, LogEvent.NONE, LogEvent.NONE, LogEvent.NONE, reason, notable);
  }

  /** Logs an event of an attempt at that server. */
  void logAttempt(Kind kind, BoxTable.Entry server, int attempt, int connection, String reason) {
    log(kind, server.id(), attempt, connection, reason, false);
  }

  /**
   * Logs that an attempt is sent on that connection; every attempt but the first is logged together
   * with the events that led to it.
   */
  void logAttemptSent(int attempt, BoxTable.Entry server, int connection, Span wait) {
    String timeLeft = "waits up to " + wait.micros() / 1000 + " ms";
    log(Kind.ATTEMPT_SENT, server.id(), attempt, connection, timeLeft, attempt > 0);
  }

  @Override
  public void attemptEnded(int attempt, BoxTable.Entry server, Environment.AttemptOutcome outcome) {
    boolean ordinary =
        outcome == Environment.AttemptOutcome.FINISHED
            || outcome == Environment.AttemptOutcome.WITHDRAWN;
    Kind kind = established ? Kind.SESSION_ENDED : Kind.ATTEMPT_ENDED;
    int connection = serverConnection == null ? LogEvent.NONE : serverConnection.number();
    log(kind, server.id(), attempt, connection, outcome.name(), !ordinary);
  }

  /** Logs the events so far, although none of them is notable. */
  void flushLog() {
    trail.flush();
  }

  /** Logs that the answer is sent after its deadline. */
  void logLateAnswer(Span lateness) {
    log(Kind.REQUEST_FAILED, "answered late by " + lateness.micros() / 1000 + " ms", true);
  }

  Moment answerDeadline() {
    return answerDeadline;
  }

  long id() {
    return id;
  }

  String packageName() {
    return packageName;
  }

  String description() {
    return description;
  }

  /** The length of the description, in characters. */
  int descriptionLength() {
    return descriptionLength;
  }

  Session session() {
    return session;
  }

  void setSession(Session newSession) {
    session = newSession;
  }

  ClientConnection requester() {
    return requester;
  }

  /** Keeps the server's answer until the core has decided whether the session is established. */
  void setAnswer(byte[] message) {
    answer = message;
  }

  /** The client no longer waits. */
  void clientLeft() {
    requester = null;
    log(Kind.CLIENT_LEFT, "", false);
  }

  @Override
  public void started(Session startedSession) {
    established = true;
    requester.setAsOriginOf(this);
    sendAnswer(ClientMessageCodec.encodeStarted(id, answer), ClientConnection.Use.VIEWER);
    answer = null;
    description = null;
    trail.discard();
  }

  @Override
  public void rejected(Span retryAfter, Environment.RejectionReason reason) {
    log(Kind.REQUEST_REFUSED, reason.name(), true);
    sendAnswer(
        ClientMessageCodec.encodeRejected(id, retryAfter.micros() / 1000),
        ClientConnection.Use.UNPROVEN);
    listener.remove(this);
  }

  @Override
  public void failed(FailureCause cause) {
    log(Kind.REQUEST_FAILED, cause.name(), true);
    sendAnswer(ClientMessageCodec.encodeFailed(id), ClientConnection.Use.UNPROVEN);
    listener.remove(this);
  }

  private void sendAnswer(byte[] message, ClientConnection.Use shownUse) {
    ClientConnection connection = requester;
    requester = null;
    if (connection != null) {
      connection.sendAnswer(this, message, shownUse);
    }
  }

  @Override
  public void ended(EndReason reason) {
    listener.remove(this);
    if (reason != EndReason.LEFT) {
      listener.sendRelease(id, reason != EndReason.OVER, origin);
    }
  }

  @Override
  public void verified() {
    if (origin != null) {
      origin.markUsedByViewer();
    }
  }

  ServerConnection serverConnection() {
    return serverConnection;
  }

  void setServerConnection(ServerConnection connection) {
    serverConnection = connection;
  }

  Moment serverSeenAt() {
    return serverSeenAt;
  }

  void setServerSeenAt(Moment moment) {
    serverSeenAt = moment;
  }

  /**
   * The connection that carries messages about the session to its server; null if there has been
   * none yet, or it has closed.
   */
  ServerConnection lastUsedConnection() {
    return lastUsedConnection;
  }

  void setLastUsedConnection(ServerConnection connection) {
    lastUsedConnection = connection;
  }

  void setOrigin(ClientConnection connection) {
    origin = connection;
  }

  @Override
  public Moment lastRequestAt() {
    // Clients send nothing while a session is established, and no idle limit is set.
    return Moment.DISTANT_PAST;
  }
}
