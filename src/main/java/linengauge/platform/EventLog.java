package linengauge.platform;

import java.util.function.Consumer;
import java.util.function.Supplier;
import linengauge.Moment;
import linengauge.platform.LogEvent.Kind;

/** Tells the log what happens to requests, connections and servers, with the time. */
final class EventLog {
  private final Supplier<Moment> now;
  private final Consumer<LogEvent> sink;

  EventLog(Supplier<Moment> now, Consumer<LogEvent> sink) {
    this.now = now;
    this.sink = sink;
  }

  /** What happens to one request from here on. */
  RequestTrail trail() {
    return new RequestTrail(sink);
  }

  LogEvent ofRequest(
      Kind kind, long request, long server, int attempt, int connection, String reason) {
    return new LogEvent(now.get(), kind, request, server, attempt, connection, reason);
  }

  void ofConnection(Kind kind, long server, int connection, String reason) {
    sink.accept(
        new LogEvent(now.get(), kind, LogEvent.NONE, server, LogEvent.NONE, connection, reason));
  }

  void ofServer(Kind kind, long server, String reason) {
    ofConnection(kind, server, LogEvent.NONE, reason);
  }

  void ofFront(Kind kind, String reason) {
    ofServer(kind, LogEvent.NONE, reason);
  }
}
