package linengauge.flow;

import java.util.LinkedHashMap;
import linengauge.Moment;
import linengauge.Span;

/**
 * How many datagrams of each neighbour are heard: so many a second on average, and as many at once.
 * Guards the desk against a neighbour, or anybody else on its network, that sends without end;
 * words may be lost anyway. It could hurt where a site grows and its bound is left as it was: words
 * are then passed over in their busiest seconds.
 */
public final class DatagramRateLimiter {
  private static final class Sender {
    private double left;
    private Moment heardAt;
  }

  private final int perSecond;
  private final int most;
  private long dropped;

  /**
   * By address; the one that was silent for longest leaves as another comes to a full table, and
   * starts anew.
   */
  private final LinkedHashMap<String, Sender> senders = new LinkedHashMap<>(16, 0.75f, true);

  /** Senders remembered: as many as there are fronts, and some more for those that are none. */
  public DatagramRateLimiter(int perSecond, int senders) {
    this.perSecond = perSecond;
    this.most = senders;
  }

  public boolean accept(String from, Moment now) {
    Sender s = senders.get(from);
    if (s == null) {
      s = new Sender();
      s.left = perSecond;
      s.heardAt = now;
      senders.put(from, s);
      if (senders.size() > most) {
        senders.remove(senders.keySet().iterator().next());
      }
    }
    Span since = now.since(s.heardAt).orMore(Span.NONE);
    s.left = Math.min(perSecond, s.left + since.seconds() * perSecond);
    s.heardAt = now;
    if (s.left < 1) {
      dropped++;
      return false;
    }
    s.left--;
    return true;
  }

  public long dropped() {
    return dropped;
  }

  public int senders() {
    return senders.size();
  }
}
