package linengauge.front;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import linengauge.Moment;
import linengauge.Span;
import linengauge.carry.Wall;
import linengauge.session.Carrier;
import linengauge.session.Desk;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The event loop on which the core runs, one step at a time, each with the time told before. */
final class SessionLoop {
  private static final Logger LOG = LoggerFactory.getLogger(SessionLoop.class);

  private final Timers wakes;
  private Context context;
  private Desk core;

  /** A step of the core is running; read and written on the desk, where alone it is true. */
  private volatile boolean within;

  private volatile long ranAt = Wall.micros();

  SessionLoop(Vertx vertx) {
    this.wakes = new Timers(vertx);
  }

  /** The context on which steps run; on the desk, before any step runs. */
  void begin(Context own) {
    context = own;
    // A fault of the carrier costs what it was about; the core's own bound still answers the
    // viewer.
    context.exceptionHandler(e -> LOG.error("a step on the desk failed", e));
  }

  /** The core that is told the time; before any step runs. */
  void setCore(Desk desk) {
    core = desk;
  }

  /**
   * Runs a step on the desk with the time told: at once where the desk is running something of the
   * library's, later where it is within a step of the core or on another loop.
   */
  void run(Runnable step) {
    if (!within && Vertx.currentContext() == context) {
      runNow(step);
    } else {
      context.runOnContext(v -> runNow(step));
    }
  }

  private void runNow(Runnable step) {
    within = true;
    try {
      Moment now = Wall.now();
      ranAt = now.micros();
      core.clock(now);
      step.run();
    } finally {
      within = false;
    }
  }

  /** Runs a step of the core after that span, unless it is called off. */
  Carrier.Wake runAfter(Span span, Runnable step) {
    return wakes.after(span.micros(), () -> run(step));
  }

  /** Runs something after that span that is no step of the core. */
  void afterwards(Span span, Runnable task) {
    wakes.after(span.micros(), task);
  }

  /** When the last step began; for other threads. */
  Moment ranAt() {
    return new Moment(ranAt);
  }

  int wakesWaiting() {
    return wakes.waiting();
  }
}
