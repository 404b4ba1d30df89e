package linengauge.soak;

import java.util.ArrayList;
import java.util.List;

/** One request of a client, and what became of it as the client saw it; moments in microseconds. */
final class SoakRequest {
  static final long NEVER = Long.MAX_VALUE;
  final long id;
  final String tag;
  final boolean paid;
  final int front;
  final long deadlineMs;
  long sentAt = NEVER;

  /** What the front said that ends it: answered, refused, failed. */
  final List<String> answers = new ArrayList<>();

  long answeredAt = NEVER;

  /** The client stopped waiting, or closed the connection on which it waited. */
  long cancelledAt = NEVER;

  /** Its connection ended from the other side before an answer. */
  long connectionLostAt = NEVER;

  /** The client closed the connection as it waited: an answer under way is read by nobody. */
  boolean abandonedByClose;

  boolean resent;

  /** It never reached a front: no connection was taken. */
  boolean notConnected;

  /** The server of its session, while it stands for the client. */
  String server;

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

  /** Its moments, in milliseconds after it was sent, whose Unix time comes first. */
  @Override
  public String toString() {
    long unixMs = System.currentTimeMillis() - (System.nanoTime() / 1000 - sentAt) / 1000;
    StringBuilder times = new StringBuilder("front " + front + " " + answers);
    times.append(" sent ").append(unixMs / 1000.0);
    add(times, "answered", answeredAt);
    add(times, "gave up", cancelledAt);
    add(times, "cut", connectionLostAt);
    add(times, "ended by its client", endedByClientAt);
    add(times, "released", releasedAt);
    return times.append(abandonedByClose ? ", left by a close" : "").toString();
  }

  private void add(StringBuilder times, String what, long at) {
    if (at != NEVER) {
      times.append(", ").append(what).append(" +").append((at - sentAt) / 1000);
    }
  }
}
