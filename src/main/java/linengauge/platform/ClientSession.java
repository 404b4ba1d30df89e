package linengauge.platform;

import linengauge.Moment;
import linengauge.Outside;
import linengauge.Span;
import linengauge.platform.LogEvent.Kind;
import linengauge.platform.codec.ClientMessageCodec;
import linengauge.session.BoxTable;
import linengauge.session.Held;
import linengauge.session.Viewer;

/**
 * The viewer's end of one viewing on the platform: its id on the wire, and the connection on which
 * its answer is owed.
 */
final class ClientSession implements Viewer {
  private final ClientListener door;
  private final long id;
  private final String pack;

  /** What its boxes are told; null once it plays, as nobody is told it any more. */
  private String description;

  /** Null once the answer is given, or the viewer no longer waits. */
  private ClientConnection asker;

  private final int length;
  private Held held;

  /** What the box answered; written to the viewer as it came. */
  private byte[] answer;

  /** The connection it came by, for its end; it may have closed. */
  private ClientConnection home;

  /** The connection that it was set up on, while it plays; null for one that was handed over. */
  private ServerConnection wire;

  private ServerConnection lastUsed;

  /** Until when its viewer waits. */
  private final Moment answerBy;

  private final RequestTrail trail;

  /** It plays, or has been handed over as playing. */
  private boolean stands;

  ClientSession(
      ClientListener door,
      long id,
      String pack,
      String description,
      ClientConnection asker,
      Moment answerBy) {
    this.door = door;
    this.id = id;
    this.pack = pack;
    this.description = description;
    this.length = description == null ? 0 : description.length();
    this.asker = asker;
    this.answerBy = answerBy;
    this.trail = door.front().events().trail();
    this.stands = description == null;
    if (!stands) {
      String asked = "class " + pack + ", " + answerBy.since(door.front().now()).micros() / 1000;
      log(Kind.REQUEST_TAKEN, LogEvent.NONE, LogEvent.NONE, LogEvent.NONE, asked + " ms", false);
    }
  }

  /* ---- what the log is told ---- */

  private void log(
      Kind kind, long server, int attempt, int connection, String reason, boolean notable) {
    trail.add(
        door.front().events().ofRequest(kind, id, server, attempt, connection, reason), notable);
  }

  private void log(Kind kind, String reason, boolean notable) {
    log(kind, LogEvent.NONE, LogEvent.NONE, LogEvent.NONE, reason, notable);
  }

  /** Something happened to an attempt at that server. */
  void logged(Kind kind, BoxTable.Entry server, int attempt, int connection, String reason) {
    log(kind, server.id(), attempt, connection, reason, false);
  }

  /**
   * An attempt leaves by that connection; every one but the first is logged with what led to it.
   */
  void attemptSent(int attempt, BoxTable.Entry server, int connection, Span wait) {
    String waits = "waits " + wait.micros() / 1000 + " ms";
    log(Kind.ATTEMPT_SENT, server.id(), attempt, connection, waits, attempt > 0);
  }

  @Override
  public void attemptEnded(int attempt, BoxTable.Entry server, Outside.Ending how) {
    boolean ordinary = how == Outside.Ending.FINISHED || how == Outside.Ending.WITHDRAWN;
    Kind kind = stands ? Kind.SESSION_ENDED : Kind.ATTEMPT_ENDED;
    int connection = wire == null ? LogEvent.NONE : wire.number();
    log(kind, server.id(), attempt, connection, how.name(), !ordinary);
  }

  /** Logs what has happened so far, though nothing notable did. */
  void logHeld() {
    trail.logHeld();
  }

  /** Its answer leaves after its time. */
  void answeredLate(Span by) {
    log(Kind.REQUEST_FAILED, "answered late by " + by.micros() / 1000 + " ms", true);
  }

  Moment answerBy() {
    return answerBy;
  }

  long id() {
    return id;
  }

  String pack() {
    return pack;
  }

  String description() {
    return description;
  }

  /** Of its description, in characters. */
  int length() {
    return length;
  }

  Held held() {
    return held;
  }

  void held(Held given) {
    held = given;
  }

  ClientConnection asker() {
    return asker;
  }

  /** Its box answers; the description is kept until the core has said whether it plays. */
  void answered(byte[] bytes) {
    answer = bytes;
  }

  /** Whoever asked no longer waits. */
  void unasked() {
    asker = null;
    log(Kind.CLIENT_LEFT, "", false);
  }

  @Override
  public void plays(Held vw) {
    stands = true;
    asker.home(this);
    settle(ClientMessageCodec.encodeStarted(id, answer));
    answer = null;
    description = null;
    trail.settled();
  }

  @Override
  public void blocked(Span comeBackAfter, Outside.Refusal reason) {
    log(Kind.REQUEST_REFUSED, reason.name(), true);
    settle(ClientMessageCodec.encodeRejected(id, comeBackAfter.micros() / 1000));
    door.over(this);
  }

  @Override
  public void aborted(Cause cause) {
    log(Kind.REQUEST_FAILED, cause.name(), true);
    settle(ClientMessageCodec.encodeFailed(id));
    door.over(this);
  }

  private void settle(byte[] message) {
    ClientConnection line = asker;
    asker = null;
    if (line != null) {
      line.answer(this, message);
    }
  }

  @Override
  public void ended(End how) {
    door.over(this);
    if (how != End.LEFT) {
      door.release(id, how != End.OVER, home);
    }
  }

  ServerConnection wire() {
    return wire;
  }

  void wire(ServerConnection by) {
    wire = by;
  }

  /**
   * The connection that carries what is told to its server; null where none has yet, or it closed.
   */
  ServerConnection lastUsed() {
    return lastUsed;
  }

  void lastUsed(ServerConnection by) {
    lastUsed = by;
  }

  void home(ClientConnection line) {
    home = line;
  }

  @Override
  public Moment lastAsked() {
    return Moment
        .DISTANT_PAST; // viewers here ask for nothing while they play; no idle bound is set
  }
}
