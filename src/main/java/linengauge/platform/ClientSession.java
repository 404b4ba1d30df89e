package linengauge.platform;

import linengauge.Moment;
import linengauge.Outside;
import linengauge.Span;
import linengauge.platform.LogEvent.Kind;
import linengauge.platform.codec.ViewerMessages;
import linengauge.session.BoxTable;
import linengauge.session.Held;
import linengauge.session.Viewer;

/**
 * The viewer's end of one viewing on the platform: its id on the wire, and the connection on which
 * its answer is owed.
 */
final class ClientSession implements Viewer {
  private final ClientListener listener;
  private final long id;
  private final String packageName;

  /** What its boxes are told; null once it plays, as nobody is told it any more. */
  private String description;

  /** Null once the answer is given, or the viewer no longer waits. */
  private ClientConnection requester;

  private final int descriptionLength;
  private Held session;

  /** What the box answered; written to the viewer as it came. */
  private byte[] answer;

  /** The connection it came by, for its end; it may have closed. */
  private ClientConnection origin;

  /** The connection that it was set up on, while it plays; null for one that was handed over. */
  private ServerConnection setUpConnection;

  private ServerConnection lastUsedConnection;

  /** Until when its viewer waits. */
  private final Moment answerDeadline;

  private final RequestTrail trail;

  /** It plays, or has been handed over as playing. */
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

  /* ---- what the log is told ---- */

  private void log(
      Kind kind, long server, int attempt, int connection, String reason, boolean notable) {
    trail.add(
        listener.front().events().requestEvent(kind, id, server, attempt, connection, reason),
        notable);
  }

  private void log(Kind kind, String reason, boolean notable) {
    log(kind, LogEvent.NONE, LogEvent.NONE, LogEvent.NONE, reason, notable);
  }

  /** Something happened to an attempt at that server. */
  void logAttempt(Kind kind, BoxTable.Entry server, int attempt, int connection, String reason) {
    log(kind, server.id(), attempt, connection, reason, false);
  }

  /**
   * An attempt leaves by that connection; every one but the first is logged with what led to it.
   */
  void logAttemptSent(int attempt, BoxTable.Entry server, int connection, Span wait) {
    String timeLeft = "waits " + wait.micros() / 1000 + " ms";
    log(Kind.ATTEMPT_SENT, server.id(), attempt, connection, timeLeft, attempt > 0);
  }

  @Override
  public void attemptEnded(int attempt, BoxTable.Entry server, Outside.Ending outcome) {
    boolean ordinary = outcome == Outside.Ending.FINISHED || outcome == Outside.Ending.WITHDRAWN;
    Kind kind = established ? Kind.SESSION_ENDED : Kind.ATTEMPT_ENDED;
    int connection = setUpConnection == null ? LogEvent.NONE : setUpConnection.number();
    log(kind, server.id(), attempt, connection, outcome.name(), !ordinary);
  }

  /** Logs what has happened so far, though nothing notable did. */
  void flushLog() {
    trail.flush();
  }

  /** Its answer leaves after its time. */
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

  /** Of its description, in characters. */
  int descriptionLength() {
    return descriptionLength;
  }

  Held session() {
    return session;
  }

  void session(Held newSession) {
    session = newSession;
  }

  ClientConnection requester() {
    return requester;
  }

  /** Its box answers; the description is kept until the core has said whether it plays. */
  void setAnswer(byte[] message) {
    answer = message;
  }

  /** Whoever asked no longer waits. */
  void clientLeft() {
    requester = null;
    log(Kind.CLIENT_LEFT, "", false);
  }

  @Override
  public void plays(Held startedSession) {
    established = true;
    requester.setAsOriginOf(this);
    sendAnswer(ViewerMessages.plays(id, answer));
    answer = null;
    description = null;
    trail.discard();
  }

  @Override
  public void blocked(Span retryAfter, Outside.Refusal reason) {
    log(Kind.REQUEST_REFUSED, reason.name(), true);
    sendAnswer(ViewerMessages.blocked(id, retryAfter.micros() / 1000));
    listener.remove(this);
  }

  @Override
  public void aborted(Cause cause) {
    log(Kind.REQUEST_FAILED, cause.name(), true);
    sendAnswer(ViewerMessages.aborted(id));
    listener.remove(this);
  }

  private void sendAnswer(byte[] message) {
    ClientConnection connection = requester;
    requester = null;
    if (connection != null) {
      connection.sendAnswer(this, message);
    }
  }

  @Override
  public void ended(End reason) {
    listener.remove(this);
    if (reason != End.LEFT) {
      listener.sendRelease(id, reason != End.OVER, origin);
    }
  }

  ServerConnection setUpConnection() {
    return setUpConnection;
  }

  void setUpConnection(ServerConnection connection) {
    setUpConnection = connection;
  }

  /**
   * The connection that carries what is told to its server; null where none has yet, or it closed.
   */
  ServerConnection lastUsedConnection() {
    return lastUsedConnection;
  }

  void lastUsedConnection(ServerConnection connection) {
    lastUsedConnection = connection;
  }

  void origin(ClientConnection connection) {
    origin = connection;
  }

  @Override
  public Moment lastAsked() {
    return Moment
        .DISTANT_PAST; // viewers here ask for nothing while they play; no idle bound is set
  }
}
