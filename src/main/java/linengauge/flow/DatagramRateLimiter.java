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
    private double tokens;
    private Moment lastDatagramAt;
  }

  private final int perSecond;
  private final int maxSenders;
  private long dropped;

  /**
   * By address; the one that was silent for longest leaves as another comes to a full table, and
   * starts anew.
   */
  private final LinkedHashMap<String, Sender> senders = new LinkedHashMap<>(16, 0.75f, true);

  /** Senders remembered: as many as there are fronts, and some more for those that are none. */
  public DatagramRateLimiter(int perSecond, int maxSenders) {
    this.perSecond = perSecond;
    this.maxSenders = maxSenders;
  }

  public boolean accept(String address, Moment now) {
    Sender sender = senders.get(address);
    if (sender == null) {
      sender = new Sender();
      sender.tokens = perSecond;
      sender.lastDatagramAt = now;
      senders.put(address, sender);
      if (senders.size() > maxSenders) {
        senders.remove(senders.keySet().iterator().next());
      }
    }
    Span elapsed = now.since(sender.lastDatagramAt).orMore(Span.NONE);
    sender.tokens = Math.min(perSecond, sender.tokens + elapsed.seconds() * perSecond);
    sender.lastDatagramAt = now;
    if (sender.tokens < 1) {
      dropped++;
      return false;
    }
    sender.tokens--;
    return true;
  }

  public long dropped() {
    return dropped;
  }

  public int senders() {
    return senders.size();
  }
}
