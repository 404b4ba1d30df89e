package linengauge.platform.connection;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BooleanSupplier;
import linengauge.Moment;
import linengauge.Span;

/**
 * Tracks the client connections of a front and closes those that exceed a limit. Connections that
 * stay silent, never complete a message, or arrive by the hundred are closed within a bound, so
 * that slots remain for clients with requests. A client that connects long before its first request
 * is closed and has to reconnect.
 */
public final class IdleConnectionReaper {
  /**
   * The maximum number of connections, and how long a connection may go without a request that was
   * answered.
   */
  public record Limits(int maxConnections, Span activityTimeout) {}

  /**
   * Connections beyond the limit that are tolerated until pending data of all connections has been
   * read; the descriptors reserved for the process cover them.
   */
  private static final int MAX_EXCESS_CONNECTIONS = 16;

  private final Limits limits;

  /** Bounded by the limit and the tolerated excess; an entry leaves when its connection closes. */
  private final Set<IdleTracker> connections = new LinkedHashSet<>();

  public IdleConnectionReaper(Limits limits) {
    this.limits = limits;
  }

  public int size() {
    return connections.size();
  }

  /**
   * Adds a connection. If there are more than the limit, {@link #evictExcess} must be called as
   * soon as pending data of the other connections has been read. Beyond the tolerated excess,
   * connections are closed at once.
   */
  public IdleTracker add(Runnable close, BooleanSupplier queueEmpty, Moment now) {
    IdleTracker connection = new IdleTracker(close, queueEmpty, now);
    connections.add(connection);
    evictDownTo(limits.maxConnections() + MAX_EXCESS_CONNECTIONS);
    return connection;
  }

  public boolean isOverLimit() {
    return connections.size() > limits.maxConnections();
  }

  /**
   * Closes connections beyond the limit: those idle for longest, untrusted ones first, the newest
   * connection last. If every connection has an open request, the newest is closed. Returns how
   * many were closed with an open request.
   */
  public int evictExcess() {
    return evictDownTo(limits.maxConnections());
  }

  private int evictDownTo(int target) {
    int evictedWithOpenRequest = 0;
    while (connections.size() > target) {
      IdleTracker newest = null;
      IdleTracker leastActive = null;
      int remaining = connections.size();
      for (IdleTracker connection : connections) {
        newest = connection;
        // The newest has had no turn of its own yet in which to send a request.
        boolean isNewest = --remaining == 0;
        if (connection.isIdle()
            && !isNewest
            && (leastActive == null
                || leastActive.isTrusted() && !connection.isTrusted()
                || leastActive.isTrusted() == connection.isTrusted()
                    && connection.idleSince().isBefore(leastActive.idleSince()))) {
          leastActive = connection;
        }
      }
      IdleTracker evicted = leastActive == null ? newest : leastActive;
      evictedWithOpenRequest += leastActive == null ? 1 : 0;
      connections.remove(evicted);
      evicted.close().run();
    }
    return evictedWithOpenRequest;
  }

  public void remove(IdleTracker connection) {
    connections.remove(connection);
  }

  /**
   * Closes connections that are overdue at two successive calls; to be called several times a
   * second. After a pause of the loop, a set-up that arrived meanwhile is read between the two
   * calls and is not lost with its connection.
   */
  public void closeOverdue(Moment now) {
    List<IdleTracker> overdue = new ArrayList<>();
    for (IdleTracker connection : connections) {
      if (connection.isStillOverdue(limits, now)) {
        overdue.add(connection);
      }
    }
    connections.removeAll(overdue);
    overdue.forEach(connection -> connection.close().run());
  }
}
