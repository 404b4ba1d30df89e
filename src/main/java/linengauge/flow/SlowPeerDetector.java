package linengauge.flow;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.TreeMap;
import linengauge.Moment;
import linengauge.Span;

/**
 * Detects and disconnects slow peers of one loop. Each tick evaluates every peer with a transfer in
 * progress or with queued bytes. Those that stay below their minimum rate are disconnected, the
 * slowest first, as far as the disconnect budget allows. A tick never touches idle connections.
 */
public final class SlowPeerDetector {
  /** Counters since the start, and gauges as of the last tick. */
  public static final class Counts {
    public long viewersDisconnected;
    public long boxesDisconnected;

    /** Slow but not disconnected, as the budget was used up; counted again at each tick. */
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
   * Peers with a transfer in progress or queued bytes, by id. A peer is removed when it is idle at
   * a tick, or closed.
   */
  private final TreeMap<Long, PeerTraffic> activePeersById = new TreeMap<>();

  /** The number of active peers that are viewers; a floor is reserved for each. */
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

  /** Whether no floor is left for a further viewer: the next transfer is rejected. */
  public boolean isFull() {
    return settings.enabled() && activeViewers >= settings.maxPeers();
  }

  Moment loopTime() {
    return clock.loopTime();
  }

  /** Starts counting for a peer; this has no cost until a transfer starts. */
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
   * Evaluates the active peers. Called after each tick of the loop clock with its result. After a
   * process pause no peer is disconnected in this tick, since what the peers did during the pause
   * has not been read yet.
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
        continue; // closed together with a peer disconnected before it
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
