package linengauge.flow;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import linengauge.Moment;
import linengauge.Span;

/**
 * The connections of one loop that owe it a byte or the end of their headers, those due first in
 * front. A look touches only those whose time is over.
 */
public final class ConnectionAttempts {
  private static final Comparator<ConnectionAttempt> BY_DEADLINE =
      Comparator.comparing(ConnectionAttempt::deadline).thenComparingLong(attempt -> attempt.id);

  private final ListenerSettings settings;
  private final LoopClock clock;

  /**
   * Each leaves when its request is whole, when it is due, and when it is closed; bounded by the
   * door's places.
   */
  private final TreeSet<ConnectionAttempt> byDeadline = new TreeSet<>(BY_DEADLINE);

  private final Map<ConnectionAttempt.State, Long> timeoutsByState =
      new EnumMap<>(ConnectionAttempt.State.class);
  private long nextId;

  public ConnectionAttempts(ListenerSettings settings, LoopClock clock) {
    this.settings = settings;
    this.clock = clock;
  }

  public ConnectionAttempt open(ConnectionAttempt.Connection connection) {
    return new ConnectionAttempt(this, connection, nextId++, clock.loopTime());
  }

  Moment loopTime() {
    return clock.loopTime();
  }

  int maxPipelinedRequests() {
    return settings.enabled() ? settings.maxPipelinedRequests() : Integer.MAX_VALUE;
  }

  Span timeLimit(ConnectionAttempt.State state) {
    if (!settings.enabled()) {
      return null;
    }
    return switch (state) {
      case FIRST_BYTE -> settings.firstByteTimeout();
      case HEADERS -> settings.headersTimeout();
      case BETWEEN -> settings.idleTimeout();
      case UNDER_WAY -> null;
    };
  }

  void addDeadline(ConnectionAttempt attempt) {
    if (attempt.deadline() != null) {
      byDeadline.add(attempt);
    }
  }

  void removeDeadline(ConnectionAttempt attempt) {
    if (attempt.deadline() != null) {
      byDeadline.remove(attempt);
    }
  }

  public int pending() {
    return byDeadline.size();
  }

  /** How many were closed for what they owed in this state. */
  public long timeouts(ConnectionAttempt.State state) {
    return timeoutsByState.getOrDefault(state, 0L);
  }

  /**
   * After each beat of the loop's own time; after a stand-still what waits in the sockets is read
   * first.
   */
  public void tick(boolean ranOnTime) {
    if (!ranOnTime) {
      return;
    }
    List<ConnectionAttempt> expired = new ArrayList<>();
    while (!byDeadline.isEmpty() && !clock.loopTime().before(byDeadline.first().deadline())) {
      expired.add(byDeadline.pollFirst());
    }
    for (ConnectionAttempt attempt : expired) {
      timeoutsByState.merge(attempt.state(), 1L, Long::sum);
      attempt.connection().timedOut(attempt.state());
    }
  }
}
