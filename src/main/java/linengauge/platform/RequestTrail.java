package linengauge.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * The events of one request so far. Most requests are answered by their first attempt, and none of
 * their events is logged. The first event that operators may have to explain (a retry, a rejection,
 * a failure, a broken connection) logs all events before it as well, and from then on each event is
 * logged at once.
 */
final class RequestTrail {
  /** Enough for about three attempts with all their events. */
  private static final int MAX_BUFFERED_EVENTS = 24;

  private final Consumer<LogEvent> sink;

  /** Bounded: later events are dropped. Null once every event is logged at once. */
  private List<LogEvent> buffered = new ArrayList<>(4);

  RequestTrail(Consumer<LogEvent> sink) {
    this.sink = sink;
  }

  /** Adds an event; a notable one is one that operators may have to explain. */
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

  /** Logs the buffered events, and every later event at once. */
  void flush() {
    if (buffered != null) {
      buffered.forEach(sink);
      buffered = null;
    }
  }

  /** Discards the buffered events, as there is nothing to explain. */
  void discard() {
    if (buffered != null) {
      buffered.clear();
    }
  }
}
