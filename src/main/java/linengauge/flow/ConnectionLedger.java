package linengauge.flow;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import linengauge.Moment;

/**
 * Decides which connections are admitted. An address may use up to its own limit while there is
 * room; the last eighth of all connections is reserved for addresses that have less than an equal
 * share. A connection over the limits is rejected: one request is read so that the client receives
 * a clear response. When too many rejected connections are open, further ones are dropped at once.
 *
 * <p>One ledger serves all loops of a front. It is not thread-safe; callers serialize access.
 */
public final class ConnectionLedger {
  /** How a new connection is handled. */
  public enum Admission {
    SERVED,
    /** One request is read and answered with a rejection. */
    REJECTED,
    /** Closed without a response. */
    DROPPED
  }

  private final ListenerSettings settings;

  /** Number of served connections by address; an entry is removed with its last connection. */
  private final Map<String, Integer> servedByAddress = new HashMap<>();

  private int served;
  private int rejecting;
  private long rejected;
  private long dropped;
  private long rejectedRequests;

  /**
   * The recent requests of each key, oldest first. When the table is full, the key that was used
   * least recently is removed.
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

  /** Admits a connection; the result has to be returned with {@link #release}. */
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
   * Whether a viewing may be requested with this key now. This limits a player that sends requests
   * in a tight loop.
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
    while (!recent.isEmpty() && !windowStart.isBefore(recent.peekFirst())) {
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
