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
public final class ConnectionLedger {
  /** What becomes of a connection. */
  public enum Admission {
    SERVED,
    REJECTED,
    DROPPED
  }

  private final ListenerSettings terms;

  /** Connections served, by address; an address leaves with its last one. */
  private final Map<String, Integer> byAddress = new HashMap<>();

  private int served;
  private int rejecting;
  private long rejected;
  private long dropped;
  private long rejectedRequests;

  /**
   * When each key asked, latest last; keys leave by age as others come, the least lately asking
   * first.
   */
  private final LinkedHashMap<String, ArrayDeque<Moment>> asks =
      new LinkedHashMap<>(16, 0.75f, true);

  public ConnectionLedger(ListenerSettings terms) {
    this.terms = terms;
  }

  public int served() {
    return served;
  }

  public int rejecting() {
    return rejecting;
  }

  public long rejected() {
    return rejected;
  }

  public long dropped() {
    return dropped;
  }

  public long rejectedRequests() {
    return rejectedRequests;
  }

  public int addresses() {
    return byAddress.size();
  }

  public int trackedKeys() {
    return asks.size();
  }

  /** A connection from an address. What it got is to be given back with {@link #release}. */
  public Admission admit(String address) {
    if (!terms.guards() || hasPlaceFor(address)) {
      byAddress.merge(address, 1, Integer::sum);
      served++;
      return Admission.SERVED;
    }
    if (rejecting < terms.turningAway()) {
      rejecting++;
      rejected++;
      return Admission.REJECTED;
    }
    dropped++;
    return Admission.DROPPED;
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

  public void release(String address, Admission entry) {
    if (entry == Admission.SERVED) {
      served--;
      byAddress.computeIfPresent(address, (a, n) -> n == 1 ? null : n - 1);
    } else if (entry == Admission.REJECTED) {
      rejecting--;
    }
  }

  /**
   * Whether one with this key may ask for a viewing now. Guards against a player that asks in a
   * tight loop.
   */
  public boolean admitRequest(String key, Moment now) {
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
      rejectedRequests++;
      return false;
    }
    past.addLast(now);
    return true;
  }
}
