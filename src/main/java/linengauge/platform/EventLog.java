package linengauge.platform;

import java.util.function.Consumer;
import java.util.function.Supplier;
import linengauge.Moment;
import linengauge.platform.LogEvent.Kind;

/**
 * Creates the events of requests, and logs those of connections, servers and the front, with the
 * time.
 */
final class EventLog {
  private final Supplier<Moment> now;
  private final Consumer<LogEvent> sink;

  EventLog(Supplier<Moment> now, Consumer<LogEvent> sink) {
    this.now = now;
    this.sink = sink;
  }

  /** Creates the trail of a new request. */
  RequestTrail newTrail() {
    return new RequestTrail(sink);
  }

  /** Creates an event of a request without logging it: that is left to the request's trail. */
  LogEvent requestEvent(
      Kind kind, long request, long server, int attempt, int connection, String reason) {
    return new LogEvent(now.get(), kind, request, server, attempt, connection, reason);
  }

  void logConnection(Kind kind, long server, int connection, String reason) {
    sink.accept(
        new LogEvent(now.get(), kind, LogEvent.NONE, server, LogEvent.NONE, connection, reason));
  }

  void logServer(Kind kind, long server, String reason) {
    logConnection(kind, server, LogEvent.NONE, reason);
  }

  void logFront(Kind kind, String reason) {
    logServer(kind, LogEvent.NONE, reason);
  }
}
