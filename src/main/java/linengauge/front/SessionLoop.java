package linengauge.front;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import linengauge.Moment;
import linengauge.Span;
import linengauge.net.WallClock;
import linengauge.session.SessionManager;
import linengauge.session.Transport;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The event loop on which the session manager runs, one step at a time. Its clock is set before
 * each step.
 */
final class SessionLoop {
  private static final Logger LOG = LoggerFactory.getLogger(SessionLoop.class);

  private final Timers timers;
  private Context context;
  private SessionManager sessionManager;

  /** Whether a step of the session manager is running; meaningful on the session loop alone. */
  private volatile boolean inStep;

  private volatile long lastStepMicros = WallClock.micros();

  SessionLoop(Vertx vertx) {
    this.timers = new Timers(vertx);
  }

  /** Sets the context on which steps run. Called on that context, before the first step. */
  void bind(Context sessionContext) {
    context = sessionContext;
    // A failure in the transport affects only the call concerned: the viewer is still answered by
    // the time limit of the session manager.
    context.exceptionHandler(e -> LOG.error("a step on the session loop failed", e));
  }

  /** Sets the session manager whose clock is set. Called before the first step. */
  void setSessionManager(SessionManager manager) {
    sessionManager = manager;
  }

  /**
   * Runs a step on the session loop with the clock set: at once where the caller is on that loop
   * and outside of a step, else later.
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
      Moment now = WallClock.now();
      lastStepMicros = now.micros();
      sessionManager.updateTime(now);
      step.run();
    } finally {
      inStep = false;
    }
  }

  /** Runs a step after the span, unless it is cancelled. */
  Transport.Timer schedule(Span span, Runnable step) {
    return timers.schedule(span.micros(), () -> run(step));
  }

  /**
   * Runs a task on the session loop after the span, but not as a step: the session manager's clock
   * is not set. Used to close the front after the session manager has failed.
   */
  void scheduleOutsideSteps(Span span, Runnable task) {
    timers.schedule(span.micros(), task);
  }

  /** When the last step began; may be called on any thread. */
  Moment lastStepAt() {
    return new Moment(lastStepMicros);
  }

  int pendingTimers() {
    return timers.pending();
  }
}
