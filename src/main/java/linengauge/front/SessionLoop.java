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

  private final Timers timers;
  private Context context;
  private Desk sessionManager;

  /** A step of the core is running; read and written on the desk, where alone it is true. */
  private volatile boolean inStep;

  private volatile long lastStepMicros = Wall.micros();

  SessionLoop(Vertx vertx) {
    this.timers = new Timers(vertx);
  }

  /** The context on which steps run; on the desk, before any step runs. */
  void bind(Context sessionContext) {
    context = sessionContext;
    // A fault of the carrier costs what it was about; the core's own bound still answers the
    // viewer.
    context.exceptionHandler(e -> LOG.error("a step on the desk failed", e));
  }

  /** The core that is told the time; before any step runs. */
  void setSessionManager(Desk manager) {
    sessionManager = manager;
  }

  /**
   * Runs a step on the desk with the time told: at once where the desk is running something of the
   * library's, later where it is within a step of the core or on another loop.
   */
  void run(Runnable step) {
    if (!inStep && Vertx.currentContext() == context) {
      runNow(step);
    } else {
      context.runOnContext(v -> runNow(step));
    }
  }

  private void runNow(Runnable step) {
    inStep = true;
    try {
      Moment now = Wall.now();
      lastStepMicros = now.micros();
      sessionManager.clock(now);
      step.run();
    } finally {
      inStep = false;
    }
  }

  /** Runs a step of the core after that span, unless it is called off. */
  Carrier.Wake schedule(Span span, Runnable step) {
    return timers.schedule(span.micros(), () -> run(step));
  }

  /** Runs something after that span that is no step of the core. */
  void scheduleOutsideSteps(Span span, Runnable task) {
    timers.schedule(span.micros(), task);
  }

  /** When the last step began; for other threads. */
  Moment lastStepAt() {
    return new Moment(lastStepMicros);
  }

  int pendingTimers() {
    return timers.pending();
  }
}
