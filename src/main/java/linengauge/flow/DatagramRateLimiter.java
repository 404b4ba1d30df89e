package linengauge.flow;

import java.util.LinkedHashMap;
import linengauge.Moment;
import linengauge.Span;

/**
 * Limits the datagrams accepted from each neighbour with a token bucket: {@code perSecond} on
 * average and in a burst. This protects the session loop from a neighbour, or any other host on its
 * network, that floods it. The protocol tolerates lost messages. A limit that is not raised as a
 * site grows drops messages in the busiest seconds.
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
   * Senders by address. When the table is full, the sender that has been silent for the longest
   * time is removed and starts with a full bucket if it returns.
   */
  private final LinkedHashMap<String, Sender> senders = new LinkedHashMap<>(16, 0.75f, true);

  /** {@code maxSenders} covers all fronts, with some room for hosts that are no fronts. */
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
    Span elapsed = now.since(sender.lastDatagramAt).max(Span.NONE);
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
