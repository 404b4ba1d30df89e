package linengauge.platform;

import java.util.concurrent.TimeUnit;
import linengauge.Moment;
import linengauge.net.EventWriter;
import linengauge.platform.LogEvent.Kind;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;
import org.slf4j.helpers.NOPLogger;

/** The cost of logging: of one request on the event loop, and of one line on the writer thread. */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Fork(value = 1, jvmArgsAppend = "-XX:TieredStopAtLevel=1")
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 3, time = 1)
public class RequestTrailBench {
  private final Moment now = new Moment(1_764_802_032_522_123L);
  private final EventWriter<LogEvent> full =
      new EventWriter<>(NOPLogger.NOP_LOGGER, LogEvent::line);
  private final EventLog events = new EventLog(() -> now, full::accept);

  /** Answered by its first attempt, so that nothing is logged. */
  @Benchmark
  public RequestTrail ordinary() {
    RequestTrail trail = events.newTrail();
    trail.add(event(Kind.REQUEST_TAKEN, LogEvent.NONE), false);
    trail.add(event(Kind.ATTEMPT_SENT, 0), false);
    trail.add(event(Kind.ATTEMPT_ANSWERED, 0), false);
    trail.discard();
    return trail;
  }

  /** Refused after two attempts with a full queue, the most expensive case for the event loop. */
  @Benchmark
  public RequestTrail refused() {
    RequestTrail trail = events.newTrail();
    trail.add(event(Kind.REQUEST_TAKEN, LogEvent.NONE), false);
    for (int attempt = 0; attempt < 2; attempt++) {
      trail.add(event(Kind.ATTEMPT_SENT, attempt), attempt > 0);
      trail.add(event(Kind.GIVE_UP_SENT, attempt), false);
      trail.add(event(Kind.ATTEMPT_ENDED, attempt), true);
    }
    trail.add(event(Kind.REQUEST_REFUSED, LogEvent.NONE), true);
    return trail;
  }

  /** Formats one line, as the writer thread does. */
  @Benchmark
  public String line() {
    return event(Kind.ATTEMPT_SENT, 1).line();
  }

  private LogEvent event(Kind kind, int attempt) {
    return events.requestEvent(kind, 0x3faee594d679918cL, 0xa56d2d9aL, attempt, 12, "waits 250 ms");
  }
}
