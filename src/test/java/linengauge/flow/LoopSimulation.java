package linengauge.flow;

import java.util.ArrayList;
import java.util.List;
import linengauge.Moment;
import linengauge.Span;

/**
 * One loop in virtual time with viewers that read at individual rates. Bytes are queued as the
 * detector allows, and the detector is ticked by the loop clock.
 */
final class LoopSimulation {
  static final FlowSettings SETTINGS =
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
  static final int MIN_BYTES_PER_SECOND = 22_500; // 0.75 of a lowest rung of 30 kB/s

  final FlowSettings settings;
  final LoopClock clock;
  final SlowPeerDetector detector;
  final List<SimulatedViewer> viewers = new ArrayList<>();
  final List<String> disconnected = new ArrayList<>();
  final List<Moment> disconnectedAt = new ArrayList<>();
  Moment now = new Moment(1_000_000_000L);

  LoopSimulation(FlowSettings settings) {
    this.settings = settings;
    this.clock = new LoopClock(settings.tickInterval(), settings.lateTolerance());
    this.detector = new SlowPeerDetector(settings, clock);
    clock.tick(now);
  }

  /**
   * A viewer that requests a segment every {@code segmentIntervalMs} and reads it at a rate that a
   * test may change.
   */
  final class SimulatedViewer implements PeerTraffic.Peer {
    final String name;
    final long segmentBytes;
    final long segmentIntervalMs;
    double bytesPerSecond;
    final PeerTraffic traffic;
    private long bytesToSend;
    private double queued;
    private long nextSegmentInMs;
    private boolean paused;
    private boolean isTransferring;
    private final int minReadBytes;
    private double readableBytes;

    SimulatedViewer(
        String name,
        double bytesPerSecond,
        long segmentBytes,
        long segmentIntervalMs,
        int minReadBytes) {
      this.name = name;
      this.bytesPerSecond = bytesPerSecond;
      this.segmentBytes = segmentBytes;
      this.segmentIntervalMs = segmentIntervalMs;
      this.minReadBytes = minReadBytes;
      this.traffic = detector.open(PeerTraffic.Side.VIEWER, this);
      viewers.add(this);
    }

    @Override
    public long queuedBytes() {
      return (long) queued;
    }

    @Override
    public void disconnect(PeerTraffic ignored) {
      disconnected.add(name);
      disconnectedAt.add(now);
    }

    @Override
    public void progressed() {}

    @Override
    public void resume() {
      paused = false;
    }

    void step(long elapsedMs) {
      if (!traffic.isOpen()) {
        return;
      }
      nextSegmentInMs -= elapsedMs;
      if (!isTransferring && nextSegmentInMs <= 0 && !detector.isFull()) {
        isTransferring = true;
        bytesToSend = segmentBytes;
        nextSegmentInMs = segmentIntervalMs;
        traffic.transferStarted(MIN_BYTES_PER_SECOND);
      }
      readableBytes = Math.min(queued, readableBytes + bytesPerSecond * elapsedMs / 1000);
      // The window of a socket opens in steps.
      if (readableBytes >= Math.min(minReadBytes, queued)) {
        queued -= readableBytes;
        readableBytes = 0;
      }
      if (paused && traffic.bytesDrained()) {
        paused = false;
      }
      while (bytesToSend > 0 && !paused) {
        long chunk = Math.min(bytesToSend, settings.chunkBytes());
        bytesToSend -= chunk;
        queued += chunk;
        paused = traffic.bytesQueued(chunk);
      }
      if (isTransferring && bytesToSend == 0 && queued == 0) {
        isTransferring = false;
        traffic.transferEnded();
      }
    }
  }

  void run(double seconds) {
    for (long elapsedMs = 0; elapsedMs < seconds * 1000; elapsedMs += 20) {
      now = now.plus(Span.ofMillis(20));
      viewers.forEach(viewer -> viewer.step(20));
      if (now.micros() % settings.tickInterval().micros() == 0) {
        detector.tick(clock.tick(now));
      }
    }
  }

  /** The loop does not run; its peers' bytes stay where they are. */
  void pause(double seconds) {
    now = now.plus(Span.ofMillis(Math.round(seconds * 1000) / 100 * 100));
    detector.tick(clock.tick(now));
  }

  /** The highest number of disconnections in any span of this length. */
  int maxDisconnectsWithin(Span span) {
    int maxCount = 0;
    for (int i = 0; i < disconnectedAt.size(); i++) {
      int count = 0;
      for (int j = i;
          j < disconnectedAt.size()
              && disconnectedAt.get(j).since(disconnectedAt.get(i)).isShorterThan(span);
          j++) {
        count++;
      }
      maxCount = Math.max(maxCount, count);
    }
    return maxCount;
  }
}
