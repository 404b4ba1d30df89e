package linengauge.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * What happened to one request so far. Most requests are answered by their first attempt, and
 * nothing of them is logged; the first event that operators may have to explain (a retry, a
 * refusal, a failure, a broken connection) logs all that went before it as well, and from then on
 * every event at once.
 */
final class RequestTrail {
  /** Some three attempts with all their events. */
  private static final int MOST_HELD = 24;

  private final Consumer<LogEvent> log;

  /** Bounded, what comes after is not held; null once every event is logged at once. */
  private List<LogEvent> held = new ArrayList<>(4);

  RequestTrail(Consumer<LogEvent> log) {
    this.log = log;
  }

  /** A notable event is one that operators may have to explain. */
  void add(LogEvent event, boolean notable) {
    if (notable) {
      flush();
    }
    if (held == null) {
      log.accept(event);
    } else if (held.size() < MOST_HELD) {
      held.add(event);
    }
  }

  /** Logs what went before, and every further event at once. */
  void flush() {
    if (held != null) {
      held.forEach(log);
      held = null;
    }
  }

  /** Forgets what is held: all went as it should. */
  void discard() {
    if (held != null) {
      held.clear();
    }
  }
}
