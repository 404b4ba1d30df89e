package linengauge.flow;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import linengauge.Moment;
import linengauge.Span;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/**
 * The cost of traffic accounting: per relayed chunk, per transfer, and per tick with a number of
 * active peers.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(1)
public class SlowPeerDetectorBench {
  @Param({"10", "1000"})
  public int activePeers;

  private LoopClock clock;
  private SlowPeerDetector detector;
  private PeerTraffic viewer;
  private PeerTraffic box;
  private Moment now = new Moment(0);

  /** Reads everything at once. */
  private static final class InstantPeer implements PeerTraffic.Peer {
    @Override
    public long queuedBytes() {
      return 0;
    }

    @Override
    public void disconnect(PeerTraffic traffic) {}

    @Override
    public void progressed() {}

    @Override
    public void resume() {}
  }

  @Setup
  public void open() {
    FlowSettings settings =
        new FlowSettings(
            true,
            Span.ofMillis(100),
            Span.ofMillis(200),
            Span.ofSeconds(8),
            Span.ofSeconds(4),
            Span.ofSeconds(3),
            0.75,
            0.1,
            1L << 27,
            65_536,
            4096,
            8192,
            5000,
            Span.ofSeconds(5),
            10,
            4);
    clock = new LoopClock(settings.tickInterval(), settings.lateTolerance());
    detector = new SlowPeerDetector(settings, clock);
    List<PeerTraffic> viewers = new ArrayList<>();
    for (int i = 0; i < activePeers; i++) {
      viewers.add(detector.open(PeerTraffic.Side.VIEWER, new InstantPeer()));
      viewers.get(i).transferStarted(22_500);
    }
    viewer = viewers.get(0);
    box = detector.open(PeerTraffic.Side.BOX, new InstantPeer());
    box.transferStarted(10_000);
    box.setBytesWanted(true);
  }

  @Benchmark
  public boolean chunk() {
    box.bytesReceived(8192);
    return viewer.bytesQueued(8192);
  }

  @Benchmark
  public void transfer() {
    PeerTraffic transferred = detector.open(PeerTraffic.Side.BOX, new InstantPeer());
    transferred.transferStarted(10_000);
    transferred.setBytesWanted(true);
    viewer.transferStarted(22_500);
    viewer.transferEnded();
    transferred.close();
  }

  @Benchmark
  public void tick() {
    now = now.plus(Span.ofMillis(100));
    detector.tick(clock.tick(now));
  }
}
