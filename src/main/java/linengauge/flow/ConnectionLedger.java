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

  private final ListenerSettings settings;

  /** Connections served, by address; an address leaves with its last one. */
  private final Map<String, Integer> servedByAddress = new HashMap<>();

  private int served;
  private int rejecting;
  private long rejected;
  private long dropped;
  private long rejectedRequests;

  /**
   * When each key asked, latest last; keys leave by age as others come, the least lately asking
   * first.
   */
  private final LinkedHashMap<String, ArrayDeque<Moment>> requestsByKey =
      new LinkedHashMap<>(16, 0.75f, true);

  public ConnectionLedger(ListenerSettings settings) {
    this.settings = settings;
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
    return servedByAddress.size();
  }

  public int trackedKeys() {
    return requestsByKey.size();
  }

  /** A connection from an address. What it got is to be given back with {@link #release}. */
  public Admission admit(String address) {
    if (!settings.enabled() || hasRoomFor(address)) {
      servedByAddress.merge(address, 1, Integer::sum);
      served++;
      return Admission.SERVED;
    }
    if (rejecting < settings.maxRejecting()) {
      rejecting++;
      rejected++;
      return Admission.REJECTED;
    }
    dropped++;
    return Admission.DROPPED;
  }

  private boolean hasRoomFor(String address) {
    int connections = servedByAddress.getOrDefault(address, 0);
    if (served >= settings.maxConnections() || connections >= settings.maxConnectionsPerAddress()) {
      return false;
    }
    int addressCount = servedByAddress.size() + (connections == 0 ? 1 : 0);
    boolean isNearlyFull = served >= settings.maxConnections() - settings.maxConnections() / 8;
    return !isNearlyFull || connections < Math.max(1, settings.maxConnections() / addressCount);
  }

  public void release(String address, Admission admission) {
    if (admission == Admission.SERVED) {
      served--;
      servedByAddress.computeIfPresent(
          address, (sameAddress, count) -> count == 1 ? null : count - 1);
    } else if (admission == Admission.REJECTED) {
      rejecting--;
    }
  }

  /**
   * Whether one with this key may ask for a viewing now. Guards against a player that asks in a
   * tight loop.
   */
  public boolean admitRequest(String key, Moment now) {
    if (!settings.enabled() || key == null) {
      return true;
    }
    ArrayDeque<Moment> recent = requestsByKey.computeIfAbsent(key, newKey -> new ArrayDeque<>(2));
    if (requestsByKey.size() > settings.maxTrackedKeys()) {
      requestsByKey.remove(requestsByKey.keySet().iterator().next());
    }
    Moment windowStart = now.minus(settings.keyWindow());
    while (!recent.isEmpty() && !windowStart.before(recent.peekFirst())) {
      recent.removeFirst();
    }
    if (recent.size() >= settings.maxRequestsPerKey()) {
      rejectedRequests++;
      return false;
    }
    recent.addLast(now);
    return true;
  }
}
