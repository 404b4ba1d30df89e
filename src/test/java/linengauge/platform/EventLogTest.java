package linengauge.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.read.ListAppender;
import java.util.List;
import linengauge.Moment;
import linengauge.Span;
import linengauge.net.EventWriter;
import linengauge.platform.LogEvent.Kind;
import linengauge.standin.PlatformViewers;
import org.junit.jupiter.api.Test;
import org.slf4j.LoggerFactory;

/** What the log contains about a request, and the limits of the log. */
class EventLogTest {
  private static List<String> ofRequest(FakeNet net, long id) {
    return net.events.stream().filter(event -> event.request() == id).map(LogEvent::line).toList();
  }

  private static int indexOf(List<String> lines, String... parts) {
    for (int i = 0; i < lines.size(); i++) {
      if (List.of(parts).stream().allMatch(lines.get(i)::contains)) {
        return i;
      }
    }
    throw new AssertionError(String.join(" ", parts) + " is not in\n" + String.join("\n", lines));
  }

  /** Guards against a log without the server, the connection or the reason of an attempt. */
  @Test
  void aRetryLogsTheWholeRequestWithServersAttemptsConnectionsAndReasons() throws Exception {
    FakeNet net = FakeNet.front();
    String address = net.sendFirstSetUp();
    net.advance(Span.ofSeconds(3));
    String server = address.endsWith(":3") ? "server=s-00000001" : "server=s-00000002";
    List<String> lines = ofRequest(net, 7);
    int taken = indexOf(lines, "event=request-taken", "request=0000000000000007", "class lesson");
    int sent = indexOf(lines, "event=attempt-sent", "attempt=0", "connection=", server);
    int gaveUp = indexOf(lines, "event=give-up-sent", "attempt=0", "connection=", server);
    int ended = indexOf(lines, "event=attempt-ended", "attempt=0", "reason=\"");
    int retry = indexOf(lines, "event=attempt-sent", "attempt=1");
    int refused = indexOf(lines, "event=request-refused", "reason=\"");
    assertTrue(
        taken < sent && sent < gaveUp && gaveUp < ended && ended < retry && retry < refused,
        String.join("\n", lines));
  }

  /** Guards against a log that grows with ordinary traffic. */
  @Test
  void aRequestAnsweredByItsFirstAttemptIsNotLogged() throws Exception {
    FakeNet net = FakeNet.front();
    net.answerSetUp(net.sendFirstSetUp(), 7);
    net.clientConnections.get(0).deliver(PlatformViewers.message(12, 7, 61, new byte[1]));
    net.runDeferred();
    assertEquals(List.of(), ofRequest(net, 7));
  }

  /** Guards against closes without a reason. */
  @Test
  void everyServerConnectionCloseLogsItsReasonAndOpenAttempts() throws Exception {
    FakeNet net = FakeNet.front();
    String address = net.sendFirstSetUp();
    net.latestConnection(address).deliver("no such thing");
    net.runDeferred();
    List<String> lines = net.events.stream().map(LogEvent::line).toList();
    indexOf(lines, "event=connection-closed", "line is not valid JSON", "1 attempts out");
  }

  /** Guards against a log that exhausts the front's memory or disk during a large failure. */
  @Test
  void linesBeyondTheLimitsAreDroppedAndCounted() throws Exception {
    Logger logger = (Logger) LoggerFactory.getLogger("bounded");
    logger.setLevel(Level.INFO);
    logger.setAdditive(false);
    ListAppender<ILoggingEvent> written = new ListAppender<>();
    written.start();
    logger.addAppender(written);
    EventWriter<LogEvent> writer = new EventWriter<>(logger, LogEvent::line);
    EventLog events = new EventLog(() -> new Moment(1), writer::accept);
    for (int i = 0; i < 10_000; i++) {
      events.logFront(Kind.DISCOVERY, "closed");
    }
    writer.flush();
    assertTrue(written.list.size() <= 202, written.list.size() + " lines");
    assertTrue(written.list.size() >= 100, written.list.size() + " lines");
    Thread.sleep(1100);
    writer.flush();
    String last = written.list.get(written.list.size() - 1).getFormattedMessage();
    assertTrue(last.startsWith("event=events-dropped count="), last);
  }
}
