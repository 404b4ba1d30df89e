package linengauge.session;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import linengauge.Headend;
import linengauge.Moment;
import linengauge.Outside;
import linengauge.PackageTerms;
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
 * The core's cost of one viewing from request to end, beside how many boxes and viewings it holds.
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

  private static final PackageTerms TERMS =
      new PackageTerms(1, Span.ofMillis(800), 1, 0, 4, 0, false);

  /** Carries nothing: set-ups are answered by the benchmark, wakes are never due. */
  private static final class Mute implements Transport {
    private final ArrayDeque<Session> out = new ArrayDeque<>();

    @Override
    public Timer schedule(Span span, Runnable step) {
      return () -> {};
    }

    @Override
    public void setUp(Session vw, int tuneIn) {
      out.add(vw);
    }

    @Override
    public void changeRung(Session vw) {}

    @Override
    public void cancelAtBox(Session vw, BoxTable.Entry box, int tuneIn) {}

    @Override
    public void probe(BoxTable.Entry box) {}

    @Override
    public void send(int front, byte[] datagram) {}

    @Override
    public void coreFailed(RuntimeException cause) {
      throw cause;
    }
  }

  private static final class Nobody implements Viewer {
    @Override
    public void started(Session vw) {}

    @Override
    public void rejected(Span comeBackAfter, Outside.Refusal reason) {
      throw new IllegalStateException("blocked");
    }

    @Override
    public void failed(FailureCause cause) {
      throw new IllegalStateException("aborted");
    }

    @Override
    public void ended(EndReason how) {}

    @Override
    public Moment lastRequestAt() {
      return Moment.DISTANT_PAST;
    }
  }

  private final Mute carrier = new Mute();
  private final Viewer nobody = new Nobody();
  private final ArrayDeque<Session> playing = new ArrayDeque<>();
  private final SplittableRandom chance = new SplittableRandom(1);
  private SessionManager desk;
  private long now = 1_000_000_000L;

  @Setup
  public void open() {
    Headend house =
        new Headend(
            1,
            0,
            0,
            List.of(TERMS),
            new double[] {30, 60, 100, 170, 300},
            new double[] {0.25, 0.45, 0.65, 0.82, 1},
            new Headend.Fleet(
                boxes,
                Math.max(1, boxes / 8),
                new int[] {1000},
                1e6 * boxes,
                1e6,
                8e6,
                Span.ofMillis(800)),
            new Headend.Rules(Span.ofSeconds(10), 0.4, 2.5, Span.ofSeconds(2), 0, 0, Span.NONE),
            new Headend.Permits(4, false, false, false, 0.01, 0.01, 0, Span.ofSeconds(2)));
    desk =
        new SessionManager(
            house,
            new SessionManager.Limits(
                100_000,
                Span.ofSeconds(60),
                Span.NONE,
                Span.ofMillis(25),
                Span.ofMillis(200),
                Span.ofMillis(40)),
            1,
            "bench",
            carrier);
    desk.updateTime(new Moment(now));
    List<BoxTable.ListedBox> rows = new ArrayList<>();
    for (int i = 0; i < boxes; i++) {
      rows.add(
          new BoxTable.ListedBox(
              i + 1, "h:1", 1, i, 0, BoxTable.State.SERVING, 0, Moment.DISTANT_PAST));
    }
    desk.applyDiscovery(1, rows);
    for (int i = 0; i < held; i++) {
      join();
    }
  }

  private void join() {
    now += 1000;
    desk.updateTime(new Moment(now));
    int title = chance.nextInt(200);
    Session vw =
        desk.accept(
            new Session.SessionRequest(
                "t" + title, title * 5 % boxes, 4, 0, TERMS, 4, Span.ofSeconds(3), null),
            nobody);
    while (!carrier.out.isEmpty()) {
      Session one = carrier.out.poll();
      one.tryBeginSend(0);
      one.setUpSucceeded(0);
    }
    playing.add(vw);
  }

  /** Taken, placed, played; the viewing that has played longest ends. */
  @Benchmark
  public void fromRequestToEnd() {
    join();
    playing.poll().viewerLeft();
  }
}
