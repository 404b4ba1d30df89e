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
 * The connections of one loop that have a deadline for the first byte or the headers of a request,
 * ordered by deadline. A tick touches only the expired ones.
 */
public final class ConnectionAttempts {
  private static final Comparator<ConnectionAttempt> BY_DEADLINE =
      Comparator.comparing(ConnectionAttempt::deadline).thenComparingLong(attempt -> attempt.id);

  private final ListenerSettings settings;
  private final LoopClock clock;

  /**
   * An attempt is removed when its request is complete, when its deadline has passed and when its
   * connection closes. The size is bounded by the connection limits of {@link ListenerSettings}.
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

  /** The number of connections that timed out in this state. */
  public long timeouts(ConnectionAttempt.State state) {
    return timeoutsByState.getOrDefault(state, 0L);
  }

  /**
   * Closes the expired connections. Called after each tick of the loop clock. After a process pause
   * nothing expires in this tick, so that bytes that already wait in the sockets are read first.
   */
  public void tick(boolean ranOnTime) {
    if (!ranOnTime) {
      return;
    }
    List<ConnectionAttempt> expired = new ArrayList<>();
    while (!byDeadline.isEmpty() && !clock.loopTime().isBefore(byDeadline.first().deadline())) {
      expired.add(byDeadline.pollFirst());
    }
    for (ConnectionAttempt attempt : expired) {
      timeoutsByState.merge(attempt.state(), 1L, Long::sum);
      attempt.connection().timedOut(attempt.state());
    }
  }
}
