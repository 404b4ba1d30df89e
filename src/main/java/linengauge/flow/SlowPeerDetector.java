package linengauge.flow;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.TreeMap;
import linengauge.Moment;
import linengauge.Span;

/**
 * The accounts of one loop and the verdicts on them. At each look every peer that has bytes on the
 * way is weighed; those that are slow by evidence are let go, the slowest first, as far as the
 * budget goes. Looks touch only peers with a transfer under way or bytes waiting, never all that
 * are connected.
 */
public final class SlowPeerDetector {
  /** Counts since the start, and what the last look saw. */
  public static final class Counts {
    public long viewersDisconnected;
    public long boxesDisconnected;

    /** Found slow and not let go, as the budget was used up; counted again at each look. */
    public long spared;

    public long processPauses;
    public int progressingPeers;
    public int slowPeers;
  }

  private static final Comparator<PeerTraffic> SLOWEST_FIRST =
      Comparator.comparingDouble(PeerTraffic::part).thenComparingLong(PeerTraffic::number);

  private final FlowSettings terms;
  private final LoopClock time;
  private final BufferBudget bufferBudget;
  private final Allowance allowance;
  private final Counts counts = new Counts();

  /**
   * Peers with bytes on the way, in the order of their numbers; each leaves when it is idle at a
   * look, or closed.
   */
  private final TreeMap<Long, PeerTraffic> stirring = new TreeMap<>();

  /** Those of them that are viewers; each has its floor kept. */
  private int viewers;

  private Moment lookedAt = new Moment(0);
  private long number;

  public SlowPeerDetector(FlowSettings terms, LoopClock time) {
    this.terms = terms;
    this.time = time;
    this.bufferBudget = new BufferBudget(terms);
    this.allowance = new Allowance(terms);
  }

  public BufferBudget bufferBudget() {
    return bufferBudget;
  }

  public Counts counts() {
    return counts;
  }

  public int activePeers() {
    return stirring.size();
  }

  /** No further transfer has its floor kept: the next one is turned away. */
  public boolean isFull() {
    return terms.guards() && viewers >= terms.peers();
  }

  Moment own() {
    return time.own();
  }

  /** Opens the account of a peer; it costs nothing until a transfer begins. */
  public PeerTraffic open(PeerTraffic.Side side, PeerTraffic.Peer peer) {
    return new PeerTraffic(this, peer, side, number++, time.own(), terms.window());
  }

  void stirs(PeerTraffic a) {
    if (a.isOpen() && stirring.put(a.number(), a) == null && a.side() == PeerTraffic.Side.VIEWER) {
      viewers++;
    }
  }

  void leaves(PeerTraffic a) {
    if (stirring.remove(a.number()) != null) {
      left(a);
    }
  }

  private void left(PeerTraffic a) {
    viewers -= a.side() == PeerTraffic.Side.VIEWER ? 1 : 0;
  }

  /**
   * After each beat of the loop's own time; `ran` is what that said. After a stand-still nobody is
   * let go at once: what peers did meanwhile is still to be seen.
   */
  public void tick(boolean ran) {
    Span span = time.own().since(lookedAt);
    lookedAt = time.own();
    List<PeerTraffic> slow = new ArrayList<>();
    for (var i = stirring.values().iterator(); i.hasNext(); ) {
      PeerTraffic a = i.next();
      if (a.look(span)) {
        allowance.moved(a.number(), time.own());
      }
      if (a.isSlow(time.own(), terms)) {
        slow.add(a);
      }
      if (a.isIdle()) {
        i.remove();
        left(a);
        a.rests(time.own());
      }
    }
    counts.processPauses += ran ? 0 : 1;
    allowance.passed(span, time.own());
    counts.progressingPeers = allowance.movers();
    counts.slowPeers = slow.size();
    if (terms.guards() && ran) {
      letGo(slow);
    }
    for (PeerTraffic a : List.copyOf(stirring.values())) {
      a.mayGoOn();
    }
  }

  private void letGo(List<PeerTraffic> slow) {
    slow.sort(SLOWEST_FIRST);
    int left = allowance.left();
    for (PeerTraffic a : slow) {
      if (!a.isOpen()) {
        continue; // it went with one let go before it
      }
      if (left-- <= 0) {
        counts.spared++;
        continue;
      }
      allowance.took();
      if (a.side() == PeerTraffic.Side.VIEWER) {
        counts.viewersDisconnected++;
      } else {
        counts.boxesDisconnected++;
      }
      a.peer().disconnect(a);
      a.close();
    }
  }
}
