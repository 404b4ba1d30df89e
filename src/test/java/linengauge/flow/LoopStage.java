package linengauge.flow;

import java.util.ArrayList;
import java.util.List;
import linengauge.Moment;
import linengauge.Span;

/**
 * One loop in virtual time: viewers that take bytes at rates of their own, fed as the watch says;
 * looked at by the beat.
 */
final class LoopStage {
  static final FlowSettings TERMS =
      new FlowSettings(
          true,
          Span.ofMillis(100),
          Span.ofMillis(200),
          Span.ofSeconds(8),
          Span.ofSeconds(4),
          Span.ofSeconds(3),
          0.75,
          0.1,
          4_000_000,
          65_536,
          4096,
          8192,
          200,
          Span.ofSeconds(5),
          10,
          4);
  static final int LEAST = 22_500; // 0.75 of a lowest rung of 30 kB/s

  final FlowSettings terms;
  final LoopClock time;
  final SlowPeerDetector watch;
  final List<Taker> takers = new ArrayList<>();
  final List<String> gone = new ArrayList<>();
  final List<Moment> goneAt = new ArrayList<>();
  Moment now = new Moment(1_000_000_000L);

  LoopStage(FlowSettings terms) {
    this.terms = terms;
    this.time = new LoopClock(terms.tickInterval(), terms.lateTolerance());
    this.watch = new SlowPeerDetector(terms, time);
    time.tick(now);
  }

  /**
   * A viewer that plays segments, one each `everyMs`, and takes them at a rate that the step may
   * change.
   */
  final class Taker implements PeerTraffic.Peer {
    final String name;
    final long segment;
    final long everyMs;
    double rate;
    final PeerTraffic account;
    private long left;
    private double waiting;
    private long dueMs;
    private boolean held;
    private boolean transfers;
    private final int lump;
    private double credit;

    Taker(String name, double rate, long segment, long everyMs, int lump) {
      this.name = name;
      this.rate = rate;
      this.segment = segment;
      this.everyMs = everyMs;
      this.lump = lump;
      this.account = watch.open(PeerTraffic.Side.VIEWER, this);
      takers.add(this);
    }

    @Override
    public long queuedBytes() {
      return (long) waiting;
    }

    @Override
    public void disconnect(PeerTraffic a) {
      gone.add(name);
      goneAt.add(now);
    }

    @Override
    public void progressed() {}

    @Override
    public void resume() {
      held = false;
    }

    void step(long ms) {
      if (!account.isOpen()) {
        return;
      }
      dueMs -= ms;
      if (!transfers && dueMs <= 0 && !watch.isFull()) {
        transfers = true;
        left = segment;
        dueMs = everyMs;
        account.transferStarted(LEAST);
      }
      credit = Math.min(waiting, credit + rate * ms / 1000);
      if (credit >= Math.min(lump, waiting)) { // a socket's window opens in lumps
        waiting -= credit;
        credit = 0;
      }
      if (held && account.bytesDrained()) {
        held = false;
      }
      while (left > 0 && !held) {
        long chunk = Math.min(left, terms.chunkBytes());
        left -= chunk;
        waiting += chunk;
        held = account.bytesQueued(chunk);
      }
      if (transfers && left == 0 && waiting == 0) {
        transfers = false;
        account.transferEnded();
      }
    }
  }

  void run(double seconds) {
    for (long ms = 0; ms < seconds * 1000; ms += 20) {
      now = now.plus(Span.ofMillis(20));
      takers.forEach(t -> t.step(20));
      if (now.micros() % terms.tickInterval().micros() == 0) {
        watch.tick(time.tick(now));
      }
    }
  }

  /** The loop itself does nothing; its peers' bytes stay where they are. */
  void standStill(double seconds) {
    now = now.plus(Span.ofMillis(Math.round(seconds * 1000) / 100 * 100));
    watch.tick(time.tick(now));
  }

  /** The most let go in any stretch of this length. */
  int mostWithin(Span span) {
    int most = 0;
    for (int i = 0; i < goneAt.size(); i++) {
      int n = 0;
      for (int j = i; j < goneAt.size() && goneAt.get(j).since(goneAt.get(i)).under(span); j++) {
        n++;
      }
      most = Math.max(most, n);
    }
    return most;
  }
}
