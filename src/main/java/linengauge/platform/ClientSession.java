package linengauge.platform;

import linengauge.Moment;
import linengauge.Span;
import linengauge.platform.codec.ViewerMessages;
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

  /** Until when its viewer waits. */
  private final Moment answerBy;

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
  }

  @Override
  public void plays(Held vw) {
    asker.home(this);
    settle(ViewerMessages.plays(id, answer));
    answer = null;
    description = null;
  }

  @Override
  public void blocked(Span comeBackAfter) {
    settle(ViewerMessages.blocked(id, comeBackAfter.micros() / 1000));
    door.over(this);
  }

  @Override
  public void aborted(Cause cause) {
    settle(ViewerMessages.aborted(id));
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

  void home(ClientConnection line) {
    home = line;
  }

  @Override
  public Moment lastAsked() {
    return Moment
        .DISTANT_PAST; // viewers here ask for nothing while they play; no idle bound is set
  }
}
