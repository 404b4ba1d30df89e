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
  private static final int MAX_BUFFERED_EVENTS = 24;

  private final Consumer<LogEvent> sink;

  /** Bounded, what comes after is not held; null once every event is logged at once. */
  private List<LogEvent> buffered = new ArrayList<>(4);

  RequestTrail(Consumer<LogEvent> sink) {
    this.sink = sink;
  }

  /** A notable event is one that operators may have to explain. */
  void add(LogEvent event, boolean notable) {
    if (notable) {
      flush();
    }
    if (buffered == null) {
      sink.accept(event);
    } else if (buffered.size() < MAX_BUFFERED_EVENTS) {
      buffered.add(event);
    }
  }

  /** Logs what went before, and every further event at once. */
  void flush() {
    if (buffered != null) {
      buffered.forEach(sink);
      buffered = null;
    }
  }

  /** Forgets what is held: all went as it should. */
  void discard() {
    if (buffered != null) {
      buffered.clear();
    }
  }
}
