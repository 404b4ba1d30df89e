package linengauge.platform;

import java.util.ArrayDeque;
import linengauge.Moment;
import linengauge.Span;

/** Messages to one server that wait for a connection; bounded, the oldest is dropped. */
final class UnsentMessages {
  private static final int MAX_MESSAGES = 512;

  /**
   * If messages wait and nothing else opens a connection, one is dialled at this interval, until
   * the last of them has waited for the period below.
   */
  private static final Span DIAL_INTERVAL = Span.ofSeconds(2);

  private static final Span DIAL_PERIOD = Span.ofSeconds(30);

  private final ArrayDeque<byte[]> messages = new ArrayDeque<>();
  private Moment lastAddedAt = Moment.DISTANT_PAST;
  private Moment nextDial = Moment.DISTANT_PAST;

  void add(byte[] message, Moment now) {
    if (messages.size() == MAX_MESSAGES) {
      messages.poll();
    }
    messages.add(message);
    lastAddedAt = now;
    nextDial = nextDial.max(now.plus(DIAL_INTERVAL));
  }

  /** Writes all of them, in order. */
  void sendOn(ServerConnection connection) {
    for (byte[] message = messages.poll(); message != null; message = messages.poll()) {
      connection.write(message);
    }
  }

  void clear() {
    messages.clear();
  }

  /** Whether a connection must be dialled for them now; true once per interval. */
  boolean mustDial(Moment now) {
    boolean isDue =
        !messages.isEmpty()
            && !now.isBefore(nextDial)
            && now.since(lastAddedAt).isShorterThan(DIAL_PERIOD);
    if (isDue) {
      nextDial = now.plus(DIAL_INTERVAL);
    }
    return isDue;
  }
}
