package linengauge.session;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import linengauge.Deployment;
import linengauge.Environment;
import linengauge.Moment;
import linengauge.PackageSettings;
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
 * The time that the core spends on one viewing from request to end, by the number of boxes and of
 * viewings that it holds.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Warmup(iterations = 4, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(2)
public class SessionManagerBench {
  @Param({"30", "300"})
  public int boxes;

  @Param({"100", "1000"})
  public int held;

  private static final PackageSettings PACKAGE =
      new PackageSettings(1, Span.ofMillis(800), 1, 0, 4, 0, false);

  /** Sends nothing: set-ups are answered by the benchmark, and timers never run. */
  private static final class QueueingTransport implements Transport {
    private final ArrayDeque<Session> pending = new ArrayDeque<>();

    @Override
    public Timer schedule(Span span, Runnable step) {
      return () -> {};
    }

    @Override
    public void setUp(Session session, int tuneIn) {
      pending.add(session);
    }

    @Override
    public void changeRung(Session session) {}

    @Override
    public void cancelAtBox(Session session, BoxTable.Entry box, int tuneIn) {}

    @Override
    public void probe(BoxTable.Entry box) {}

    @Override
    public void send(int front, byte[] datagram) {}

    @Override
    public void coreFailed(RuntimeException cause) {
      throw cause;
    }
  }

  private static final class SilentViewer implements Viewer {
    @Override
    public void started(Session session) {}

    @Override
    public void rejected(Span retryAfter, Environment.RejectionReason reason) {
      throw new IllegalStateException("request rejected");
    }

    @Override
    public void failed(FailureCause cause) {
      throw new IllegalStateException("request failed");
    }

    @Override
    public void ended(EndReason reason) {}

    @Override
    public Moment lastRequestAt() {
      return Moment.DISTANT_PAST;
    }
  }

  private final QueueingTransport transport = new QueueingTransport();
  private final Viewer viewer = new SilentViewer();
  private final ArrayDeque<Session> playing = new ArrayDeque<>();
  private final SplittableRandom random = new SplittableRandom(1);
  private SessionManager manager;
  private long nowMicros = 1_000_000_000L;

  @Setup
  public void setUp() {
    Deployment deployment =
        new Deployment(
            1,
            0,
            0,
            List.of(PACKAGE),
            new double[] {30, 60, 100, 170, 300},
            new double[] {0.25, 0.45, 0.65, 0.82, 1},
            new Deployment.Fleet(
                boxes,
                Math.max(1, boxes / 8),
                new int[] {1000},
                1e6 * boxes,
                1e6,
                8e6,
                Span.ofMillis(800)),
            new Deployment.Rules(Span.ofSeconds(10), 0.4, 2.5, Span.ofSeconds(2), 0, 0, Span.NONE),
            new Deployment.Permissions(4, false, false, false, 0.01, 0.01, 0, Span.ofSeconds(2)));
    manager =
        new SessionManager(
            deployment,
            new SessionManager.Limits(
                100_000,
                Span.ofSeconds(60),
                Span.NONE,
                Span.ofMillis(25),
                Span.ofMillis(200),
                Span.ofMillis(40)),
            1,
            "bench",
            transport);
    manager.updateTime(new Moment(nowMicros));
    List<BoxTable.ListedBox> listings = new ArrayList<>();
    for (int i = 0; i < boxes; i++) {
      listings.add(
          new BoxTable.ListedBox(
              i + 1, "h:" + i, 1, i, 0, BoxTable.State.SERVING, 0, Moment.DISTANT_PAST));
    }
    manager.applyDiscovery(1, listings);
    for (int i = 0; i < held; i++) {
      startSession();
    }
  }

  private void startSession() {
    nowMicros += 1000;
    manager.updateTime(new Moment(nowMicros));
    int title = random.nextInt(200);
    Session session =
        manager.accept(
            new Session.SessionRequest(
                "t" + title, title * 5 % boxes, 4, 0, PACKAGE, 4, Span.ofSeconds(3), null),
            viewer);
    while (!transport.pending.isEmpty()) {
      Session waiting = transport.pending.poll();
      waiting.tryBeginSend(0);
      waiting.setUpSucceeded(0);
    }
    playing.add(session);
  }

  /** Accepts a viewing, places it and lets it play; the viewing that has played longest ends. */
  @Benchmark
  public void fromRequestToEnd() {
    startSession();
    playing.poll().viewerLeft();
  }
}
