package linengauge.flow;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import linengauge.Moment;

/**
 * Who comes in. Places are shared by address: while there is room an address may take what one may;
 * the last eighth is kept for addresses that have less than their even part. A newcomer for whom
 * there is no place is read for one request, so that it hears a clear answer, while there are
 * places to turn away in; then it is shut out. One book for the whole front; whoever calls it sees
 * to it that one does at a time.
 */
public final class DoorBook {
  /** What becomes of a connection. */
  public enum Entry {
    SERVED,
    TURNED_AWAY,
    SHUT_OUT
  }

  private final DoorTerms terms;

  /** Connections served, by address; an address leaves with its last one. */
  private final Map<String, Integer> byAddress = new HashMap<>();

  private int served;
  private int turningAway;
  private long turnedAway;
  private long shutOut;
  private long asksRefused;

  /**
   * When each key asked, latest last; keys leave by age as others come, the least lately asking
   * first.
   */
  private final LinkedHashMap<String, ArrayDeque<Moment>> asks =
      new LinkedHashMap<>(16, 0.75f, true);

  public DoorBook(DoorTerms terms) {
    this.terms = terms;
  }

  public int served() {
    return served;
  }

  public int turningAway() {
    return turningAway;
  }

  public long turnedAway() {
    return turnedAway;
  }

  public long shutOut() {
    return shutOut;
  }

  public long asksRefused() {
    return asksRefused;
  }

  public int addresses() {
    return byAddress.size();
  }

  public int keysRemembered() {
    return asks.size();
  }

  /** A connection from an address. What it got is to be given back with {@link #leaves}. */
  public Entry enters(String address) {
    if (!terms.guards() || hasPlaceFor(address)) {
      byAddress.merge(address, 1, Integer::sum);
      served++;
      return Entry.SERVED;
    }
    if (turningAway < terms.turningAway()) {
      turningAway++;
      turnedAway++;
      return Entry.TURNED_AWAY;
    }
    shutOut++;
    return Entry.SHUT_OUT;
  }

  private boolean hasPlaceFor(String address) {
    int has = byAddress.getOrDefault(address, 0);
    if (served >= terms.connections() || has >= terms.perAddress()) {
      return false;
    }
    int addresses = byAddress.size() + (has == 0 ? 1 : 0);
    boolean crowded = served >= terms.connections() - terms.connections() / 8;
    return !crowded || has < Math.max(1, terms.connections() / addresses);
  }

  public void leaves(String address, Entry entry) {
    if (entry == Entry.SERVED) {
      served--;
      byAddress.computeIfPresent(address, (a, n) -> n == 1 ? null : n - 1);
    } else if (entry == Entry.TURNED_AWAY) {
      turningAway--;
    }
  }

  /**
   * Whether one with this key may ask for a viewing now. Guards against a player that asks in a
   * tight loop.
   */
  public boolean asks(String key, Moment now) {
    if (!terms.guards() || key == null) {
      return true;
    }
    ArrayDeque<Moment> past = asks.computeIfAbsent(key, k -> new ArrayDeque<>(2));
    if (asks.size() > terms.keys()) {
      asks.remove(asks.keySet().iterator().next());
    }
    Moment from = now.minus(terms.keyWindow());
    while (!past.isEmpty() && !from.before(past.peekFirst())) {
      past.removeFirst();
    }
    if (past.size() >= terms.keyAsks()) {
      asksRefused++;
      return false;
    }
    past.addLast(now);
    return true;
  }
}
