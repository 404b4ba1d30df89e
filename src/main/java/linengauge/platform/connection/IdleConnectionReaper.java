package linengauge.platform.connection;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BooleanSupplier;
import linengauge.Moment;
import linengauge.Span;

/**
 * The viewers' connections of a front and who of them must go. Guards against connections that say
 * nothing, never end what they say, or come by hundreds: each ends within a bound, and places stay
 * for those who ask. It could hurt a viewer who opens a connection long before it asks: it is let
 * go and asks on a new one.
 */
public final class IdleConnectionReaper {
  /**
   * Connections at the most, and how long one may be without having asked anything that was
   * answered.
   */
  public record Limits(int maxConnections, Span activityTimeout) {}

  /**
   * Beyond the places, for as long as it takes to read what everybody sent; the process's own
   * descriptors bear it.
   */
  private static final int MAX_EXCESS_CONNECTIONS = 16;

  private final Limits limits;

  /** Bounded by the places and the few over them; each leaves when its connection closes. */
  private final Set<IdleTracker> connections = new LinkedHashSet<>();

  public IdleConnectionReaper(Limits limits) {
    this.limits = limits;
  }

  public int size() {
    return connections.size();
  }

  /**
   * A connection came; where there are more than places, {@link #evictExcess} is to be asked for as
   * soon as what others sent has been read. So many more than may wait for that are not borne: some
   * go at once.
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
   * Where there are more than places those go that have rested longest, those that have never been
   * answered first, the newest of all at last; where every one has a set-up open the newest goes.
   * Returns how many went with a set-up open.
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
        boolean isNewest = --remaining == 0; // it has had no turn of its own yet in which to ask
        if (connection.isIdle()
            && !isNewest
            && (leastActive == null
                || leastActive.isTrusted() && !connection.isTrusted()
                || leastActive.isTrusted() == connection.isTrusted()
                    && connection.idleSince().before(leastActive.idleSince()))) {
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
   * To be called some times a second: closes those whose time is over at two looks in a row. Guards
   * against a loop that was held up: a set-up that came meanwhile is read between the two, and is
   * not lost with its connection.
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
