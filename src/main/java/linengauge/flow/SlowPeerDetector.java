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
      Comparator.comparingDouble(PeerTraffic::fractionOfMinimum).thenComparingLong(PeerTraffic::id);

  private final FlowSettings settings;
  private final LoopClock clock;
  private final BufferBudget bufferBudget;
  private final DisconnectBudget disconnectBudget;
  private final Counts counts = new Counts();

  /**
   * Peers with bytes on the way, in the order of their numbers; each leaves when it is idle at a
   * look, or closed.
   */
  private final TreeMap<Long, PeerTraffic> activePeersById = new TreeMap<>();

  /** Those of them that are viewers; each has its floor kept. */
  private int activeViewers;

  private Moment lastTickAt = new Moment(0);
  private long nextId;

  public SlowPeerDetector(FlowSettings settings, LoopClock clock) {
    this.settings = settings;
    this.clock = clock;
    this.bufferBudget = new BufferBudget(settings);
    this.disconnectBudget = new DisconnectBudget(settings);
  }

  public BufferBudget bufferBudget() {
    return bufferBudget;
  }

  public Counts counts() {
    return counts;
  }

  public int activePeers() {
    return activePeersById.size();
  }

  /** No further transfer has its floor kept: the next one is turned away. */
  public boolean isFull() {
    return settings.enabled() && activeViewers >= settings.maxPeers();
  }

  Moment loopTime() {
    return clock.loopTime();
  }

  /** Opens the account of a peer; it costs nothing until a transfer begins. */
  public PeerTraffic open(PeerTraffic.Side side, PeerTraffic.Peer peer) {
    return new PeerTraffic(this, peer, side, nextId++, clock.loopTime(), settings.window());
  }

  void activate(PeerTraffic traffic) {
    if (traffic.isOpen()
        && activePeersById.put(traffic.id(), traffic) == null
        && traffic.side() == PeerTraffic.Side.VIEWER) {
      activeViewers++;
    }
  }

  void remove(PeerTraffic traffic) {
    if (activePeersById.remove(traffic.id()) != null) {
      releaseFloor(traffic);
    }
  }

  private void releaseFloor(PeerTraffic traffic) {
    activeViewers -= traffic.side() == PeerTraffic.Side.VIEWER ? 1 : 0;
  }

  /**
   * After each beat of the loop's own time; `ran` is what that said. After a stand-still nobody is
   * let go at once: what peers did meanwhile is still to be seen.
   */
  public void tick(boolean ranOnTime) {
    Span elapsed = clock.loopTime().since(lastTickAt);
    lastTickAt = clock.loopTime();
    List<PeerTraffic> slowPeers = new ArrayList<>();
    for (var peers = activePeersById.values().iterator(); peers.hasNext(); ) {
      PeerTraffic traffic = peers.next();
      if (traffic.sample(elapsed)) {
        disconnectBudget.recordProgress(traffic.id(), clock.loopTime());
      }
      if (traffic.isSlow(clock.loopTime(), settings)) {
        slowPeers.add(traffic);
      }
      if (traffic.isIdle()) {
        peers.remove();
        releaseFloor(traffic);
        traffic.becameIdle(clock.loopTime());
      }
    }
    counts.processPauses += ranOnTime ? 0 : 1;
    disconnectBudget.advance(elapsed, clock.loopTime());
    counts.progressingPeers = disconnectBudget.progressingPeers();
    counts.slowPeers = slowPeers.size();
    if (settings.enabled() && ranOnTime) {
      disconnectSlowest(slowPeers);
    }
    for (PeerTraffic traffic : List.copyOf(activePeersById.values())) {
      traffic.resumeIfAllowed();
    }
  }

  private void disconnectSlowest(List<PeerTraffic> slowPeers) {
    slowPeers.sort(SLOWEST_FIRST);
    int remaining = disconnectBudget.remaining();
    for (PeerTraffic traffic : slowPeers) {
      if (!traffic.isOpen()) {
        continue; // it went with one let go before it
      }
      if (remaining-- <= 0) {
        counts.spared++;
        continue;
      }
      disconnectBudget.recordDisconnect();
      if (traffic.side() == PeerTraffic.Side.VIEWER) {
        counts.viewersDisconnected++;
      } else {
        counts.boxesDisconnected++;
      }
      traffic.peer().disconnect(traffic);
      traffic.close();
    }
  }
}
