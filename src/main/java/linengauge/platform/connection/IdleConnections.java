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
public final class IdleConnections {
  /**
   * Connections at the most, and how long one may be without having asked anything that was
   * answered.
   */
  public record Terms(int places, Span sign) {}

  /**
   * Beyond the places, for as long as it takes to read what everybody sent; the process's own
   * descriptors bear it.
   */
  private static final int MOST_OVER = 16;

  private final Terms terms;

  /** Bounded by the places and the few over them; each leaves when its connection closes. */
  private final Set<IdleConnection> all = new LinkedHashSet<>();

  public IdleConnections(Terms terms) {
    this.terms = terms;
  }

  public int size() {
    return all.size();
  }

  /**
   * A connection came; where there are more than places, {@link #makePlace} is to be asked for as
   * soon as what others sent has been read. So many more than may wait for that are not borne: some
   * go at once.
   */
  public IdleConnection arrived(Runnable close, BooleanSupplier nothingQueued, Moment now) {
    IdleConnection one = new IdleConnection(close, nothingQueued, now);
    all.add(one);
    shrink(terms.places() + MOST_OVER);
    return one;
  }

  public boolean isOver() {
    return all.size() > terms.places();
  }

  /**
   * Where there are more than places those go that have rested longest, those that have never been
   * answered first, the newest of all at last; where every one has a set-up open the newest goes.
   * Returns how many went with a set-up open.
   */
  public int makePlace() {
    return shrink(terms.places());
  }

  private int shrink(int to) {
    int open = 0;
    while (all.size() > to) {
      IdleConnection newest = null;
      IdleConnection least = null;
      int left = all.size();
      for (IdleConnection one : all) {
        newest = one;
        boolean last = --left == 0; // it has had no turn of its own yet in which to ask
        if (one.rests()
            && !last
            && (least == null
                || least.isProven() && !one.isProven()
                || least.isProven() == one.isProven()
                    && one.restsSince().before(least.restsSince()))) {
          least = one;
        }
      }
      IdleConnection goes = least == null ? newest : least;
      open += least == null ? 1 : 0;
      all.remove(goes);
      goes.close().run();
    }
    return open;
  }

  public void left(IdleConnection one) {
    all.remove(one);
  }

  /**
   * To be called some times a second: closes those whose time is over at two looks in a row. Guards
   * against a loop that was held up: a set-up that came meanwhile is read between the two, and is
   * not lost with its connection.
   */
  public void look(Moment now) {
    List<IdleConnection> over = new ArrayList<>();
    for (IdleConnection one : all) {
      if (one.overdueAgain(terms, now)) {
        over.add(one);
      }
    }
    all.removeAll(over);
    over.forEach(one -> one.close().run());
  }
}
