package linengauge.soak;

import java.util.ArrayList;
import java.util.List;

/** One request of a client and its outcome as the client observed it; times are microseconds. */
final class SoakRequest {
  static final long NEVER = Long.MAX_VALUE;
  final long id;
  final String tag;
  final boolean paid;
  final int front;
  final long deadlineMs;
  long sentAt = NEVER;

  /** The front's final answers: answered, refused or failed. */
  final List<String> answers = new ArrayList<>();

  long answeredAt = NEVER;

  /** When the client stopped waiting, or closed the connection on which it waited. */
  long cancelledAt = NEVER;

  /** When the other side closed the connection before an answer. */
  long connectionLostAt = NEVER;

  /** Whether the client closed the connection while it waited, so that nobody reads the answer. */
  boolean abandonedByClose;

  /** Whether it was sent again, once, as the other side closed the connection right after it. */
  boolean resent;

  /** Whether no connection to a front could be opened. */
  boolean notConnected;

  /** The server of its session, as long as the client has one. */
  String server;

  /** From when on the client itself ends the session. */
  long sessionUntil;

  long endedByClientAt = NEVER;
  long releasedAt = NEVER;
  String wrongAnswer;

  SoakRequest(long id, boolean paid, int front, long deadlineMs) {
    this.id = id;
    this.tag = String.format("%016x", id);
    this.paid = paid;
    this.front = front;
    this.deadlineMs = deadlineMs;
  }

  boolean isOpen() {
    return answers.isEmpty() && cancelledAt == NEVER && connectionLostAt == NEVER && !notConnected;
  }

  boolean hasSession() {
    return server != null && endedByClientAt == NEVER && releasedAt == NEVER;
  }

  /** Its times, in milliseconds after it was sent; the sending itself as Unix time. */
  @Override
  public String toString() {
    long unixMs = System.currentTimeMillis() - (System.nanoTime() / 1000 - sentAt) / 1000;
    StringBuilder times = new StringBuilder("front " + front + " " + answers);
    times.append(" sent ").append(unixMs / 1000.0);
    add(times, "answered", answeredAt);
    add(times, "cancelled", cancelledAt);
    add(times, "cut", connectionLostAt);
    add(times, "ended by its client", endedByClientAt);
    add(times, "released", releasedAt);
    return times.append(abandonedByClose ? ", left by closing its connection" : "").toString();
  }

  private void add(StringBuilder times, String name, long at) {
    if (at != NEVER) {
      times.append(", ").append(name).append(" +").append((at - sentAt) / 1000);
    }
  }
}
